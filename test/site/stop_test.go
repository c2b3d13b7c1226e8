package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/front"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// planned returns a planned stop whose callers learn of it, and get their last responses,
// within a duration.
func planned(duration time.Duration) front.PlannedStop {
	end := time.Now().Add(duration)
	return front.PlannedStop{CallersAware: end, AnswerBy: end}
}

// TestStoppingFrontRefusesWhatOutlastsIt guards against requests that a stopping front accepts
// and then cuts off: they are refused at once, have not run, and are served by another front.
func TestStoppingFrontRefusesWhatOutlastsIt(t *testing.T) {
	const aware, unaware = -time.Second, time.Hour
	for name, row := range map[string]struct {
		method, path string
		// deadline is the time that the caller waits, callersAware is when callers know of the
		// stop, and remaining the time until it ends, both from now.
		deadline, callersAware, remaining time.Duration
		served                            bool
	}{
		"deadline before the end":                        {http.MethodPost, "/once/x", time.Second, aware, 10 * time.Second, true},
		"deadline after the end":                         {http.MethodPost, "/once/x", 3 * time.Second, aware, 2 * time.Second, false},
		"deadline after the end, may be repeated":        {http.MethodPost, "/plain/x", 3 * time.Second, aware, 2 * time.Second, false},
		"deadline after the end, usually much faster":    {http.MethodPost, "/once/x", 3 * time.Second, unaware, 2 * time.Second, true},
		"deadline after the end, usually not faster":     {http.MethodPost, "/once/x", 3 * time.Second, unaware, time.Millisecond, false},
		"stream, deadline after the end":                 {http.MethodPost, "/stream/x", 3 * time.Second, unaware, 2 * time.Second, false},
		"job, time limit before the end":                 {http.MethodPost, "/jobs/submit", 3 * time.Second, aware, 10 * time.Second, true},
		"job, time limit after the end":                  {http.MethodPost, "/jobs/submit", 3 * time.Second, unaware, 2 * time.Second, false},
		"results, time limit before the end":             {http.MethodGet, "/loomgrade/lots/job-0", 0, aware, 10 * time.Second, true},
		"results, time limit after the end":              {http.MethodGet, "/loomgrade/lots/job-0", 0, unaware, time.Second, false},
		"body of an item, time limit after the end":      {http.MethodGet, "/loomgrade/items/job-0?id=item-0", 0, unaware, time.Second, false},
		"end of a job, time limit after the end":         {http.MethodDelete, "/loomgrade/lots/job-0", 0, unaware, time.Second, false},
		"deadline after the end, route's before the end": {http.MethodPost, "/once/x", time.Minute, aware, 10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 1)
			s.toleratedLosses = 0
			s.extra = `,{"name":"r-stream","hostname":"` + host + `","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":4000,"targetLatencyMs":400,"backend":"` + plain + `","maxAttempts":1}`
			s.start()
			s.startFront(&process{name: "front-1"})
			s.configure()
			replica := sitestandin.NewReplica(t, "i-a", plain)
			s.add(replica)
			s.submit("job-0", job(1, "item-0"))
			waitUntil(t, "the service's latency is known", func() bool {
				status, _, _ := s.call("/plain/x", fmt.Sprint("first-", time.Now().UnixNano()))
				return status == http.StatusOK
			})
			now := time.Now()
			s.fronts[0].front.Drain(front.PlannedStop{CallersAware: now.Add(row.callersAware), AnswerBy: now.Add(row.remaining)})
			send := func(p *process) (int, http.Header) {
				header := http.Header{sitestandin.Headers.RequestID: {"late"}, sitestandin.Headers.Deadline: {fmt.Sprint(row.deadline.Milliseconds())}}
				status, _, answer := do(row.method, p.http.URL+row.path, host, header, job(1, "item-1"))
				return status, answer
			}
			status, header := send(s.fronts[0])
			refused := status == http.StatusServiceUnavailable
			if refused == row.served {
				t.Errorf("status %d", status)
			}
			if row.served {
				return
			}
			if header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			for _, arrival := range replica.Arrivals() {
				if arrival.ID == "late" {
					t.Error("a refused request ran")
				}
			}
			waitUntil(t, "the other front serves it", func() bool {
				status, _ := send(s.fronts[1])
				return status/100 == 2
			})
		})
	}
}

// TestWaitingRequestIsNotSentLateInStop guards against a request that arrived before a planned stop, waits for
// a connection to a replica, and is sent so late that the end of the stop cuts it off.
func TestWaitingRequestIsNotSentLateInStop(t *testing.T) {
	const connections, remaining = 8, time.Second
	for name, path := range map[string]string{"once": "/once/x", "may be repeated": "/plain/x", "stream": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 0)
			s.extra = `,{"name":"r-stream","hostname":"` + host + `","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":4000,"targetLatencyMs":400,"backend":"` + plain + `","maxAttempts":1}`
			s.start()
			s.configure()
			replica := sitestandin.NewReplica(t, "i-a", plain)
			released := make(chan struct{})
			replica.Handle = func(_ http.ResponseWriter, r *http.Request) bool {
				if strings.HasPrefix(r.Header.Get(sitestandin.Headers.RequestID), "held") {
					<-released
				}
				return false
			}
			s.add(replica)
			waitUntil(t, "the service's latency is known", func() bool {
				status, _, _ := s.call("/plain/x", fmt.Sprint("first-", time.Now().UnixNano()))
				return status == http.StatusOK
			})
			first := len(replica.Arrivals())
			for i := range connections {
				go s.call("/once/x", fmt.Sprint("held-", i))
			}
			waitUntil(t, "all connections are in use", func() bool { return len(replica.Arrivals()) == first+connections })
			type answered struct {
				status int
				took   time.Duration
			}
			late, began := make(chan answered, 1), time.Now()
			go func() {
				status, _, _ := s.call(path, "late")
				late <- answered{status, time.Since(began)}
			}()
			waitUntil(t, "the request waits", func() bool { return s.fronts[0].front.InFlight() == connections+1 })
			now := time.Now()
			s.fronts[0].front.Drain(front.PlannedStop{CallersAware: now.Add(time.Hour), AnswerBy: now.Add(remaining)})
			time.AfterFunc(remaining-remaining/100, func() { close(released) })
			if got := <-late; got.status != http.StatusServiceUnavailable || got.took > remaining+remaining/2 {
				t.Errorf("status %d after %v", got.status, got.took)
			}
			for _, arrival := range replica.Arrivals() {
				if arrival.ID == "late" {
					t.Error("the request was sent")
				}
			}
		})
	}
}
