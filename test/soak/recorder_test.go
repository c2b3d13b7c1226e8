package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// TestChecksOfCallsFindViolations guards against checks of a soak that pass whatever the
// callers and replicas observe.
func TestChecksOfCallsFindViolations(t *testing.T) {
	burstEnd := time.Now()
	for name, row := range map[string]struct {
		id         string
		status     int
		retryAfter string
		runs       int
		refusals   int
		// sinceBurst is the time from the end of the burst to the call.
		sinceBurst time.Duration
		want       string
	}{
		"served":                        {id: "once-1", status: http.StatusOK, runs: 1, sinceBurst: 2 * time.Second},
		"refused by a replica":          {id: "once-1", status: http.StatusServiceUnavailable, retryAfter: "0.1", refusals: 2},
		"repeated after a refusal":      {id: "once-1", status: http.StatusOK, runs: 1, refusals: 1},
		"repeatable call ran twice":     {id: "call-1", status: http.StatusOK, runs: 2},
		"no Retry-After":                {id: "call-1", status: http.StatusServiceUnavailable, want: "with Retry-After"},
		"Retry-After of zero":           {id: "call-1", status: http.StatusTooManyRequests, retryAfter: "0.000", want: "with Retry-After"},
		"refused call ran":              {id: "call-1", status: http.StatusServiceUnavailable, retryAfter: "0.1", runs: 1, want: "rejected as not run"},
		"too many requests, but ran":    {id: "once-1", status: http.StatusTooManyRequests, retryAfter: "0.1", runs: 1, refusals: 1, want: "rejected as not run"},
		"ran twice":                     {id: "once-1", status: http.StatusOK, runs: 2, refusals: 1, want: "ran 2 times"},
		"refused after the burst":       {id: "call-1", status: http.StatusServiceUnavailable, retryAfter: "0.1", sinceBurst: 2 * time.Second, want: "the burst is over"},
		"no answer after the burst":     {id: "call-1", sinceBurst: 2 * time.Second, want: "the burst is over"},
		"refused right after the burst": {id: "call-1", status: http.StatusServiceUnavailable, retryAfter: "0.1", sinceBurst: time.Second / 2},
		"refused during a fault":        {id: "call-1", status: http.StatusServiceUnavailable, retryAfter: "0.1", sinceBurst: 4 * time.Second},
	} {
		r := newRecorder()
		r.disturbances.addBurst(burstEnd.Add(-time.Second), burstEnd.Add(burstRecoveryTime))
		r.disturbances.add(burstEnd.Add(3*time.Second), burstEnd.Add(5*time.Second))
		start := burstEnd.Add(row.sinceBurst)
		r.checkCall(call{id: row.id, status: row.status, start: start, end: start.Add(time.Millisecond)}, row.retryAfter)
		arrivals := make([]sitestandin.Arrival, row.runs+row.refusals)
		for i := range arrivals {
			arrivals[i].ID = row.id
		}
		r.checkArrivals(arrivals, map[string]int{row.id: row.refusals}, func(time.Time) bool { return true })
		_, unserved := r.checkService()
		found := strings.Join(append(r.violations, unserved...), "; ")
		if row.want == "" && found != "" || !strings.Contains(found, row.want) {
			t.Errorf("%s: violations %q, want %q", name, found, row.want)
		}
	}
}
