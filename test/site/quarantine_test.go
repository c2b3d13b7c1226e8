package site_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// deadly is the path of requests that may end a replica.
	deadly = "/plain/deadly"
	// endsAllowed is how many replicas one request may end before the site must know it,
	// and triesAllowed how often it may reach replicas once the site had the time that
	// knowledge takes.
	endsAllowed  = 3
	triesAllowed = 3
	knownWithin  = 3 * time.Second
)

// fallible is a service whose replicas end when they begin to run certain requests. Each
// is replaced by a new incarnation that the test brings in.
type fallible struct {
	site *site
	// start makes the stand-in of an incarnation.
	start func(id string) *sitestandin.Replica
	// fatal reports whether a request ends the replica that runs it.
	fatal func(body string, r *http.Request) bool

	mutex sync.Mutex
	made  int
	ended []string
	alive []*sitestandin.Replica
}

// add brings a new incarnation in.
func (f *fallible) add() {
	f.mutex.Lock()
	f.made++
	replica := f.start(fmt.Sprintf("i-%d", f.made))
	f.alive = append(f.alive, replica)
	f.mutex.Unlock()
	replica.Behave = func(w http.ResponseWriter, r *http.Request) bool {
		arrivals := replica.Arrivals()
		if !f.fatal(arrivals[len(arrivals)-1].Body, r) {
			return false
		}
		f.end(replica)
		panic(http.ErrAbortHandler)
	}
	f.site.add(replica)
}

// end ends a replica as a crash does: all its connections close, and none opens any more.
func (f *fallible) end(replica *sitestandin.Replica) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if slices.Contains(f.ended, replica.ID) {
		return
	}
	f.ended = append(f.ended, replica.ID)
	f.alive = slices.DeleteFunc(f.alive, func(one *sitestandin.Replica) bool { return one == replica })
	replica.Stop()
}

// refill brings new incarnations in for those that ended.
func (f *fallible) refill(most int) {
	for {
		f.mutex.Lock()
		count := len(f.alive)
		f.mutex.Unlock()
		if count >= most {
			return
		}
		f.add()
	}
}

// refillFor goes on bringing new incarnations in for a time.
func (f *fallible) refillFor(duration time.Duration) {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(pollTime) {
		f.refill(replicasOfTheService)
	}
}

func (f *fallible) endedSoFar() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.ended)
}

// replicasOfTheService is as many as the small service of the incident had.
const replicasOfTheService = 4

func newFallible(s *site, fatal func(body string, r *http.Request) bool) *fallible {
	f := &fallible{site: s, fatal: fatal, start: func(id string) *sitestandin.Replica { return sitestandin.NewReplica(s.t, id, plain) }}
	f.refill(replicasOfTheService)
	return f
}

func newFallibleEngines(s *site, fatal func(body string, r *http.Request) bool) *fallible {
	f := &fallible{site: s, fatal: fatal, start: func(id string) *sitestandin.Replica { return sitestandin.NewEngine(s.t, id, lm, model) }}
	f.refill(replicasOfTheService)
	return f
}

// ask sends a request to a front and gives the status of its answer.
func ask(front *httptest.Server, path, id, body string, header http.Header) int {
	all := header.Clone()
	if all == nil {
		all = http.Header{}
	}
	all.Set(sitestandin.Headers.RequestID, id)
	all.Set(sitestandin.Headers.Deadline, "3000")
	status, _, _ := do(http.MethodPost, front.URL+path, host, all, []byte(body))
	return status
}

// TestARequestThatEndsReplicasIsWithheld plays an incident. Replicas of a small service
// ended in pairs, were back after two seconds and ended again, 40 in 82 s; callers reported
// one request under which three had ended, and which was sent to eight more.
//
// It came about by one request that ends each replica that begins to run it, and that its
// callers sent again and again, to any front. The bound on the replicas of a request was one
// try's: a front counted from zero for each, and knew nothing of the tries at others.
//
// What proved it: no try was sent to more replicas than its route allows, only tries of one
// route broke at two replicas each, the second as long after its start as the first, and the
// callers' record names one request for replicas that ended at four fronts.
func TestARequestThatEndsReplicasIsWithheld(t *testing.T) {
	s := newSite(t, 3, 1)
	s.start()
	s.startFront(&process{name: "front-1"})
	s.configure()
	service := newFallible(s, func(body string, r *http.Request) bool { return body == "fatal" })
	tries := 0
	again := func() {
		ask(s.fronts[tries%len(s.fronts)].http, deadly, fmt.Sprintf("again-%d", tries), "fatal", nil)
		tries++
	}
	for service.endedSoFar() < endsAllowed {
		again()
		service.refill(replicasOfTheService)
	}
	time.Sleep(knownWithin)
	before := service.endedSoFar()
	for range 10 {
		again()
		service.refill(replicasOfTheService)
	}
	if ended := service.endedSoFar() - before; ended > triesAllowed {
		t.Errorf("%d replicas had ended under a request, and %d more did when it came again", before, ended)
	}
	for _, front := range s.fronts {
		if status := ask(front.http, deadly, "other-"+front.name, "harmless", nil); status != http.StatusOK {
			t.Errorf("%s: a request with another body is answered %d", front.name, status)
		}
	}
}

// TestAnItemThatEndsReplicasIsWithheld: what runs the items of a job sends an item again as
// long as its job is open. One that ends each replica that runs it took them all, one after
// the other, and the items beside it with them.
func TestAnItemThatEndsReplicasIsWithheld(t *testing.T) {
	s := newSite(t, 3, 3)
	s.start()
	s.configure()
	engines := newFallibleEngines(s, func(_ string, r *http.Request) bool {
		return r.Header.Get(sitestandin.Headers.RequestID) == "fatal"
	})
	s.add(sitestandin.NewReplica(t, "plain-1", plain))
	s.submit("job-1", job(1, "fatal", "item-1", "item-2"))
	for engines.endedSoFar() < endsAllowed {
		engines.refill(replicasOfTheService)
		time.Sleep(pollTime)
	}
	before := engines.endedSoFar()
	engines.refillFor(2*knownWithin + knownWithin/2)
	if ended := engines.endedSoFar() - before; ended > triesAllowed {
		t.Errorf("%d replicas had ended under an item, and %d more did", before, ended)
	}
	until(t, "the other items completed", func() bool {
		_, read := s.read("job-1", 0)
		return len(read.Results) >= 2
	})
}

// endUnder has requests end as many replicas as it takes to withhold them.
func (f *fallible) endUnder(path, body string, header http.Header) {
	for try := 0; f.endedSoFar() < endsAllowed; try++ {
		ask(f.site.fronts[0].http, path, fmt.Sprintf("end-%d", try), body, header)
		f.refill(replicasOfTheService)
	}
}

// withheldAt waits until a front refuses a request without sending it.
func (f *fallible) withheldAt(front *process, path, body string, header http.Header) {
	f.site.t.Helper()
	tries := 0
	until(f.site.t, "the request withheld at "+front.name, func() bool {
		tries++
		before := f.endedSoFar()
		status := ask(front.http, path, fmt.Sprintf("held-%s-%d", front.name, tries), body, header)
		f.refill(replicasOfTheService)
		return status == http.StatusServiceUnavailable && f.endedSoFar() == before
	})
}

// TestAWithheldRequestOutlivesItsProcesses: what the site knows is in the control log. A front
// that starts anew, after the loss of all power of the control machines, does not send the
// request either.
func TestAWithheldRequestOutlivesItsProcesses(t *testing.T) {
	s := newSite(t, 3, 1)
	s.start()
	s.configure()
	service := newFallible(s, func(body string, _ *http.Request) bool { return body == "fatal" })
	service.endUnder(deadly, "fatal", nil)
	service.withheldAt(s.fronts[0], deadly, "fatal", nil)
	for _, p := range s.controls {
		p.powerOff()
	}
	for _, p := range s.controls {
		s.startControl(p, false)
	}
	late := s.startFront(&process{name: "front-late"})
	until(t, "the new front has a view", func() bool { return late.watcher.ConfirmedWithin(time.Second) })
	before := service.endedSoFar()
	if status := ask(late.http, deadly, "late", "fatal", nil); status != http.StatusServiceUnavailable || service.endedSoFar() != before {
		t.Errorf("answered %d, %d replicas ended", status, service.endedSoFar()-before)
	}
}

// TestCallersOfTheSameAreToldApart: one tenant's request ends replicas, another one asks for
// the same with the same body and is served.
func TestCallersOfTheSameAreToldApart(t *testing.T) {
	s := newSite(t, 3, 1)
	s.tenants = twoTenants
	s.start()
	s.configure()
	service := newFallible(s, func(_ string, r *http.Request) bool { return r.Header.Get(sitestandin.Headers.Tenant) == "ada" })
	service.endUnder(deadly, "same", keyed("key-a1"))
	service.withheldAt(s.fronts[0], deadly, "same", keyed("key-a2")) // the tenant's other key
	if status := ask(s.fronts[0].http, deadly, "bob", "same", keyed("key-b")); status != http.StatusOK {
		t.Errorf("the other tenant is answered %d", status)
	}
}

// TestARequestThatRanBesideTheCauseIsServedAgain: three replicas end by themselves under a
// request. It is withheld, tried once when replicas had time to come back, and let go.
//
// It was once answered twice and withheld again. The front asked for a trial and got it, and its
// view had not yet come when the caller tried again; the front asked anew and was given the
// same trial once more, as one whose answer was lost. So the second answer did not mean that
// the request was let go.
//
// What proved it: with views that came 0.1 s late the front's lines had trial 1 given twice
// within 5 ms, both with no trial in the view, and the test failed as it had; with the front's
// word of the answer 0.5 s late it passed.
func TestARequestThatRanBesideTheCauseIsServedAgain(t *testing.T) {
	s := newSite(t, 3, 1)
	s.start()
	s.configure()
	var unlucky atomic.Bool
	unlucky.Store(true)
	service := newFallible(s, func(string, *http.Request) bool { return unlucky.Load() })
	service.endUnder(deadly, "harmless", nil)
	service.withheldAt(s.fronts[0], deadly, "harmless", nil)
	unlucky.Store(false)
	count := 0
	again := func() bool {
		count++
		return ask(s.fronts[0].http, deadly, fmt.Sprintf("again-%d", count), "harmless", nil) == http.StatusOK
	}
	until(t, "the trial served", again)
	until(t, "let go", again)
	for range 5 {
		if !again() {
			t.Error("withheld again")
		}
	}
}
