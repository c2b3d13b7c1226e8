package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// boundedSlots and boundedWork let a bounded replica run 100 requests a second.
	boundedSlots = 2
	boundedWork  = 20 * time.Millisecond
	// pressingCallers is several times the slots of the replicas in these tests.
	pressingCallers = 24
	// callerPause is much shorter than any Retry-After, so that the pressure does not ease.
	callerPause = 5 * time.Millisecond
	// pressedAnswers is the number of answers that a test waits for in each of its phases.
	pressedAnswers = 200
)

// limitReasons are parts of the reasons of the limit's own refusals: by its rate, by its retry
// budget, after the refusals of all replicas, and at the stop of its process.
var limitReasons = []string{
	"the service is overloaded", "no further try is left in the retry budget",
	"refused with status Service Unavailable", "is stopping",
}

// boundedReplica is a stand-in that refuses, as not run, requests beyond its slots.
type boundedReplica struct {
	*sitestandin.Replica
	mutex   sync.Mutex
	running int
	ran     map[string]int
	// held, if set, keeps requests running until it is closed.
	held chan struct{}
}

func newBoundedReplica(t testing.TB, id string) *boundedReplica {
	b := &boundedReplica{Replica: sitestandin.NewReplica(t, id, plain), ran: map[string]int{}}
	b.Handle = b.handle
	return b
}

func (b *boundedReplica) handle(w http.ResponseWriter, r *http.Request) bool {
	if !b.begin(r.Header.Get(sitestandin.Headers.RequestID)) {
		w.Header().Set(sitestandin.Headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	defer b.end()
	if b.held != nil {
		<-b.held
		return false
	}
	time.Sleep(boundedWork)
	return false
}

// begin takes a slot, if one is free, and records that the request runs.
func (b *boundedReplica) begin(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.running == boundedSlots {
		return false
	}
	b.running++
	b.ran[id]++
	return true
}

func (b *boundedReplica) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
}

// runs returns how often a request ran.
func (b *boundedReplica) runs(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ran[id]
}

// totalRuns returns the number of requests that ran.
func (b *boundedReplica) totalRuns() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.ran)
}

// outcome is a front's answer to a request.
type outcome struct {
	id         string
	status     int
	body       string
	retryAfter string
}

// refused reports whether the request was refused as not run.
func (o *outcome) refused() bool {
	return o.status == http.StatusServiceUnavailable && o.retryAfter != ""
}

// hasLimitReason reports whether the send limit refused the request.
func (o *outcome) hasLimitReason() bool {
	return slices.ContainsFunc(limitReasons, func(reason string) bool { return strings.Contains(o.body, reason) })
}

// callFront sends a request that must not be repeated.
func callFront(front *process, path, id string) outcome {
	status, body, header := do(http.MethodPost, front.http.URL+path, host, http.Header{
		sitestandin.Headers.RequestID: {id}, sitestandin.Headers.Deadline: {"9500"},
	}, []byte("body of "+id))
	return outcome{id: id, status: status, body: body, retryAfter: header.Get("Retry-After")}
}

// pressure is a set of callers that send requests beyond what the replicas can run.
type pressure struct {
	t        testing.TB
	stopped  atomic.Bool
	callers  sync.WaitGroup
	mutex    sync.Mutex
	outcomes []outcome
}

// press starts callers that send one request after another through a front.
func (s *site) press(front *process) *pressure {
	p := &pressure{t: s.t}
	for caller := range pressingCallers {
		p.callers.Go(func() { p.call(front, caller) })
	}
	s.t.Cleanup(func() { p.stop() })
	return p
}

func (p *pressure) call(front *process, caller int) {
	for n := 0; !p.stopped.Load(); n++ {
		got := callFront(front, "/once/x", fmt.Sprintf("caller-%d-%d", caller, n))
		p.mutex.Lock()
		p.outcomes = append(p.outcomes, got)
		p.mutex.Unlock()
		time.Sleep(callerPause)
	}
}

// count returns the number of answers with a status.
func (p *pressure) count(status int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, got := range p.outcomes {
		if got.status == status {
			count++
		}
	}
	return count
}

// waitMore waits until many more requests were served, and some more refused.
func (p *pressure) waitMore() {
	p.t.Helper()
	served, refused := p.count(http.StatusOK), p.count(http.StatusServiceUnavailable)
	waitUntil(p.t, "more requests are served and refused", func() bool {
		return p.count(http.StatusOK) >= served+pressedAnswers && p.count(http.StatusServiceUnavailable) > refused
	})
}

// stop ends the pressure and returns all answers.
func (p *pressure) stop() []outcome {
	p.stopped.Store(true)
	p.callers.Wait()
	return p.outcomes
}

// checkOutcomes checks that each request was served by one run, or refused with a Retry-After
// and has not run. It also checks that the send limit was in force: no replica was asked twice,
// and some requests were refused without asking any. If lost is set, a request cut off
// there may fail instead, and a refusal may name the failure there.
func checkOutcomes(t testing.TB, outcomes []outcome, lost *boundedReplica, replicas ...*boundedReplica) {
	t.Helper()
	if lost != nil {
		replicas = append(replicas, lost)
	}
	arrivals := countArrivals(replicas)
	refusedUnsent := 0
	for _, got := range outcomes {
		runs, sent := 0, 0
		for _, replica := range replicas {
			runs += replica.runs(got.id)
			sent += arrivals[replica.ID][got.id]
			if again := arrivals[replica.ID][got.id]; again > 1 {
				t.Errorf("%s arrived at %s %d times", got.id, replica.ID, again)
			}
		}
		switch {
		case got.status == http.StatusOK && runs == 1:
		case got.refused() && runs == 0 && (lost != nil || got.hasLimitReason()):
			if sent == 0 {
				refusedUnsent++
			}
		case got.status == http.StatusBadGateway && lost != nil && runs == lost.runs(got.id):
		default:
			t.Errorf("%d runs, %+v", runs, got)
		}
	}
	if refusedUnsent == 0 {
		t.Errorf("the send limit refused none of %d requests", len(outcomes))
	}
}

// countArrivals returns by replica how often each request arrived there.
func countArrivals(replicas []*boundedReplica) map[string]map[string]int {
	arrivals := map[string]map[string]int{}
	for _, replica := range replicas {
		arrivals[replica.ID] = map[string]int{}
		for _, arrival := range replica.Arrivals() {
			arrivals[replica.ID][arrival.ID]++
		}
	}
	return arrivals
}

// startLimitedSite starts a site with send limits and bounded replicas.
func startLimitedSite(t testing.TB, stores int, ids ...string) (*site, []*boundedReplica) {
	s := newSite(t, 3, stores)
	s.limitSends = true
	// Requests of this route may wait in a queue for 2 s.
	s.extra = `,{"name":"r-patient","hostname":"` + host + `","pathPrefix":"/patient/","routeType":"non_idempotent","timeoutMs":10000,"targetLatencyMs":2000,"backend":"` + plain + `","maxAttempts":1}`
	s.start()
	s.configure()
	var replicas []*boundedReplica
	for _, id := range ids {
		replica := newBoundedReplica(t, id)
		s.add(replica.Replica)
		replicas = append(replicas, replica)
	}
	return s, replicas
}
