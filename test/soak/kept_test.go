package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// keptClients is the number of clients that keep connections to fronts.
	keptClients = 4
	// keptPatience is how long they wait for a response.
	keptPatience = 9 * time.Second
	// contactTime is how long before a request no unplanned fault may have been under way for
	// its response to be owed.
	contactTime = 3 * time.Second
	// responseSlack is how long after a request was sent its connection may close without a
	// response: the request may cross the close.
	responseSlack = 200 * time.Millisecond
)

// keptCall is a request on a kept connection. status is 0 if the connection ended without a
// response.
type keptCall struct {
	id, front string
	status    int
	sent, end time.Time
}

// newPatientReplica starts a replica whose requests take as long as their workHeader says.
func newPatientReplica(t testing.TB) *sitestandin.Replica {
	replica := sitestandin.NewReplica(t, "i-patient", patient)
	replica.Handle = func(_ http.ResponseWriter, r *http.Request) bool {
		work, _ := strconv.Atoi(r.Header.Get(workHeader))
		select {
		case <-time.After(time.Duration(work) * time.Millisecond):
			return false
		case <-r.Context().Done():
			return true
		}
	}
	return replica
}

// workHeader names the header with the duration of a request, in milliseconds.
const workHeader = "X-Test-Work-Ms"

func (tr *traffic) patientReplica() *sitestandin.Replica {
	for _, replica := range tr.replicas {
		if replica.Service == patient {
			return replica
		}
	}
	return nil
}

// useKeptConnections sends requests that may run at most once, each connection until its front
// closes it or is gone, as late as the front allows.
func (tr *traffic) useKeptConnections(ctx context.Context, name string, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		fronts := tr.site.machinesOf("front")
		front := fronts[random.IntN(len(fronts))]
		connection, err := net.DialTimeout("tcp", tr.site.address(front, tr.site.ports.caller), time.Second)
		if err != nil {
			pause(ctx, 100*time.Millisecond)
			continue
		}
		client := keptClient{traffic: tr, name: fmt.Sprintf("%s-%d", name, i), front: front.name, random: random, connection: connection}
		client.run(ctx)
		_ = connection.Close()
	}
}

type keptClient struct {
	traffic    *traffic
	name       string
	front      string
	random     *rand.Rand
	connection net.Conn
}

// run sends requests until the connection closes. Its first pause is that of a client that
// connects before it has a request.
func (c *keptClient) run(ctx context.Context) {
	answers := bufio.NewReader(c.connection)
	limit := 2 * time.Second
	for i := 0; pause(ctx, time.Duration(c.random.Int64N(int64(limit)))); i++ {
		keepAlive, open := c.send(fmt.Sprintf("kept-%s-%d", c.name, i), answers)
		if !open {
			return
		}
		limit = max(keepAlive-200*time.Millisecond, time.Millisecond)
	}
}

// send sends a request and returns how long the connection may stay idle after its response.
func (c *keptClient) send(id string, answers *bufio.Reader) (keepAlive time.Duration, open bool) {
	work := time.Duration(c.random.Int64N(int64(100 * time.Millisecond)))
	if c.random.IntN(3) == 0 {
		work = time.Duration(c.random.Int64N(int64(4 * time.Second)))
	}
	call := keptCall{id: id, front: c.front, sent: time.Now()}
	defer func() {
		call.end = time.Now()
		c.traffic.recorder.addKept(call)
	}()
	_ = c.connection.SetDeadline(time.Now().Add(keptPatience))
	_, err := fmt.Fprintf(c.connection, "POST /patient/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody",
		host, sitestandin.Headers.RequestID, id, sitestandin.Headers.Deadline, (keptPatience - time.Second).Milliseconds(), workHeader, work.Milliseconds())
	if err != nil {
		return 0, false
	}
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0, false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, false
	}
	call.status = response.StatusCode
	c.traffic.recorder.checkResponse(id, response.StatusCode, string(body), response.Header.Get(sitestandin.Headers.Signature))
	c.traffic.recorder.count(fmt.Sprint("kept ", response.StatusCode))
	seconds, _ := strconv.Atoi(strings.TrimPrefix(response.Header.Get("Keep-Alive"), "timeout="))
	return time.Duration(seconds) * time.Second, !response.Close
}

func (r *recorder) addKept(made keptCall) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kept = append(r.kept, made)
}

// checkKeptCalls checks that requests on kept connections have responses while only planned
// stops are under way, and that refused ones have not run. It returns the number of checked ones.
func (r *recorder) checkKeptCalls(arrivals []sitestandin.Arrival, unplanned *disturbances) (checked int) {
	runs := map[string]int{}
	for _, arrival := range arrivals {
		runs[arrival.ID]++
	}
	r.mutex.Lock()
	calls := r.kept
	r.mutex.Unlock()
	for _, made := range calls {
		ran := runs[made.id]
		switch {
		case ran > 1:
			r.violation("request %s, which may run at most once, ran %d times", made.id, ran)
		case ran > 0 && made.status == http.StatusServiceUnavailable:
			r.violation("request %s was rejected as not run but ran", made.id)
		}
		if unplanned.overlaps(made.sent.Add(-contactTime), made.end) {
			continue
		}
		checked++
		waited := made.end.Sub(made.sent)
		if made.status == 0 && (ran > 0 || waited > responseSlack) {
			r.violation("request %s on a kept connection to %s at %s ended without a response after %v, ran %d times",
				made.id, made.front, made.sent.Format("15:04:05.000"), waited, ran)
		}
	}
	return checked
}

// overlaps reports whether one of the periods overlaps with the given one.
func (d *disturbances) overlaps(start, end time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, disturbed := range d.periods {
		if start.Before(disturbed.end) && end.After(disturbed.start) {
			return true
		}
	}
	return false
}

// TestChecksOfKeptCallsFindViolations guards against checks of kept connections that pass
// whatever their clients observe.
func TestChecksOfKeptCallsFindViolations(t *testing.T) {
	start := time.Now()
	for name, row := range map[string]struct {
		status, runs int
		waited       time.Duration
		// faultEnded is when a fault ended before the request was sent; 0 for none.
		faultEnded time.Duration
		want       string
	}{
		"served":                       {status: http.StatusOK, runs: 1, waited: time.Second},
		"refused":                      {status: http.StatusServiceUnavailable},
		"refused but ran":              {status: http.StatusServiceUnavailable, runs: 1, want: "rejected as not run"},
		"ran twice":                    {status: http.StatusOK, runs: 2, want: "ran 2 times"},
		"failed after it was sent":     {status: http.StatusBadGateway, runs: 1, waited: 5 * time.Second},
		"cut off":                      {runs: 1, waited: time.Second, want: "without a response"},
		"cut off at once":              {runs: 1, waited: time.Millisecond, want: "without a response"},
		"read but not passed on":       {waited: time.Second, want: "without a response"},
		"crossed the close":            {waited: time.Millisecond},
		"cut off soon after a fault":   {runs: 1, waited: time.Second, faultEnded: time.Second},
		"cut off long after a fault":   {runs: 1, waited: time.Second, faultEnded: 4 * time.Second, want: "without a response"},
		"ran twice soon after a fault": {status: http.StatusOK, runs: 2, faultEnded: time.Second, want: "ran 2 times"},
	} {
		r := newRecorder()
		var unplanned disturbances
		if row.faultEnded > 0 {
			unplanned.add(start.Add(-time.Minute), start.Add(-row.faultEnded))
		}
		r.addKept(keptCall{id: "kept-1", status: row.status, sent: start, end: start.Add(row.waited)})
		arrivals := make([]sitestandin.Arrival, row.runs)
		for i := range arrivals {
			arrivals[i].ID = "kept-1"
		}
		r.checkKeptCalls(arrivals, &unplanned)
		found := strings.Join(r.violations, "; ")
		if row.want == "" && found != "" || !strings.Contains(found, row.want) {
			t.Errorf("%s: violations %q, want %q", name, found, row.want)
		}
	}
}
