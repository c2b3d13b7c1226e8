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
	// crashPath is the path of requests that may crash a replica.
	crashPath = "/plain/deadly"
	// maxCrashes is how many replicas a request may crash before the site withholds it, and
	// maxLaterCrashes how many more once propagationTime has passed.
	maxCrashes      = 3
	maxLaterCrashes = 3
	propagationTime = 3 * time.Second
)

// crashingService is a service whose replicas crash when they run certain requests; refill
// replaces crashed replicas by new ones.
type crashingService struct {
	site *site
	// newReplica starts a stand-in replica.
	newReplica func(id string) *sitestandin.Replica
	// crashes reports whether a request crashes the replica that runs it.
	crashes func(body string, r *http.Request) bool

	mutex   sync.Mutex
	created int
	crashed []string
	alive   []*sitestandin.Replica
}

// add starts and registers a new replica.
func (c *crashingService) add() {
	c.mutex.Lock()
	c.created++
	replica := c.newReplica(fmt.Sprintf("i-%d", c.created))
	c.alive = append(c.alive, replica)
	c.mutex.Unlock()
	replica.Handle = func(w http.ResponseWriter, r *http.Request) bool {
		arrivals := replica.Arrivals()
		if !c.crashes(arrivals[len(arrivals)-1].Body, r) {
			return false
		}
		c.crash(replica)
		panic(http.ErrAbortHandler)
	}
	c.site.add(replica)
}

// crash simulates a crash: it closes all connections of a replica and accepts no new ones.
func (c *crashingService) crash(replica *sitestandin.Replica) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if slices.Contains(c.crashed, replica.ID) {
		return
	}
	c.crashed = append(c.crashed, replica.ID)
	c.alive = slices.DeleteFunc(c.alive, func(one *sitestandin.Replica) bool { return one == replica })
	replica.Stop()
}

// refill adds replicas until count of them are alive.
func (c *crashingService) refill(count int) {
	for {
		c.mutex.Lock()
		alive := len(c.alive)
		c.mutex.Unlock()
		if alive >= count {
			return
		}
		c.add()
	}
}

// refillFor replaces crashed replicas for a duration.
func (c *crashingService) refillFor(duration time.Duration) {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(pollInterval) {
		c.refill(serviceReplicas)
	}
}

func (c *crashingService) crashCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.crashed)
}

// serviceReplicas is the number of replicas of the service.
const serviceReplicas = 4

func newCrashingService(s *site, crashes func(body string, r *http.Request) bool) *crashingService {
	c := &crashingService{site: s, crashes: crashes, newReplica: func(id string) *sitestandin.Replica { return sitestandin.NewReplica(s.t, id, plain) }}
	c.refill(serviceReplicas)
	return c
}

func newCrashingEngines(s *site, crashes func(body string, r *http.Request) bool) *crashingService {
	c := &crashingService{site: s, crashes: crashes, newReplica: func(id string) *sitestandin.Replica { return sitestandin.NewEngine(s.t, id, lm, model) }}
	c.refill(serviceReplicas)
	return c
}

// send sends a request to a front and returns the response's status.
func send(front *httptest.Server, path, id, body string, header http.Header) int {
	all := header.Clone()
	if all == nil {
		all = http.Header{}
	}
	all.Set(sitestandin.Headers.RequestID, id)
	all.Set(sitestandin.Headers.Deadline, "3000")
	status, _, _ := do(http.MethodPost, front.URL+path, host, all, []byte(body))
	return status
}

// TestRequestThatCrashesReplicasIsWithheld: a request that crashes each replica that runs it
// is withheld, although callers retry it at several fronts under new ids.
func TestRequestThatCrashesReplicasIsWithheld(t *testing.T) {
	s := newSite(t, 3, 1)
	s.start()
	s.startFront(&process{name: "front-1"})
	s.configure()
	service := newCrashingService(s, func(body string, r *http.Request) bool { return body == "fatal" })
	tries := 0
	retry := func() {
		send(s.fronts[tries%len(s.fronts)].http, crashPath, fmt.Sprintf("again-%d", tries), "fatal", nil)
		tries++
	}
	for service.crashCount() < maxCrashes {
		retry()
		service.refill(serviceReplicas)
	}
	time.Sleep(propagationTime)
	before := service.crashCount()
	for range 10 {
		retry()
		service.refill(serviceReplicas)
	}
	if crashed := service.crashCount() - before; crashed > maxLaterCrashes {
		t.Errorf("%d replicas had crashed during a request, and retries crashed %d more", before, crashed)
	}
	for _, front := range s.fronts {
		if status := send(front.http, crashPath, "other-"+front.name, "harmless", nil); status != http.StatusOK {
			t.Errorf("%s: a request with another body gets status %d", front.name, status)
		}
	}
}

const (
	// maxItemIdle is how long an item of a job may be at no replica while there is a replica
	// for it; itemCrashInterval is the shortest time between two crashes under an item that
	// crashes each replica.
	maxItemIdle       = 5 * time.Second
	itemCrashInterval = time.Second
)

// TestItemThatCrashesReplicasRunsAgain guards against an item that is given up because replicas
// crash during its runs: which one is the cause is unknown, and a job's items are owed. An item
// that does crash each replica must take few down, and not delay the job's other items.
func TestItemThatCrashesReplicasRunsAgain(t *testing.T) {
	s := newSite(t, 3, 3)
	s.start()
	s.configure()
	engines := newCrashingEngines(s, func(_ string, r *http.Request) bool {
		return r.Header.Get(sitestandin.Headers.RequestID) == "fatal"
	})
	s.add(sitestandin.NewReplica(t, "plain-1", plain))
	s.submit("job-1", job(1, "fatal", "item-1", "item-2"))
	// After its fifth crash the item has the longest pause.
	for engines.crashCount() < maxCrashes+2 {
		engines.refill(serviceReplicas)
		time.Sleep(pollInterval)
	}
	before, startedAt := engines.crashCount(), time.Now()
	engines.refillFor(2 * maxItemIdle)
	passed := time.Since(startedAt)
	crashed := engines.crashCount() - before
	if atMost := int(passed/itemCrashInterval) + 1; crashed > atMost {
		t.Errorf("%d replicas crashed during an item in %v, want at most %d", crashed, passed, atMost)
	}
	if atLeast := int(passed / maxItemIdle); crashed < atLeast {
		t.Errorf("the item ran %d times in %v, want at least %d runs", crashed, passed, atLeast)
	}
	waitUntil(t, "the other items completed", func() bool {
		_, read := s.read("job-1", 0)
		return len(read.Results) >= 2
	})
}

// TestItemCompletesAfterCrashes guards against a sound item of a job that never runs again after
// several replicas crashed during its runs, whichever member leads, and against a reward call that
// is withheld for the same reason.
func TestItemCompletesAfterCrashes(t *testing.T) {
	for name, row := range map[string]struct {
		crashes      int
		reward       bool
		changeLeader bool
	}{
		"five crashes":                          {crashes: 5},
		"ten crashes":                           {crashes: 10},
		"five crashes, then another leader":     {crashes: 5, changeLeader: true},
		"five crashes under its reward call":    {crashes: 5, reward: true},
		"five of the reward call, other leader": {crashes: 5, reward: true, changeLeader: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3, 3)
			s.start()
			s.configure()
			unlucky := "unlucky"
			if row.reward {
				unlucky = "score-unlucky"
			}
			var runs atomic.Int64
			crashes := func(_ string, r *http.Request) bool {
				return r.Header.Get(sitestandin.Headers.RequestID) == unlucky && runs.Add(1) <= int64(row.crashes)
			}
			var service *crashingService
			if row.reward {
				service = newCrashingService(s, crashes)
				s.add(sitestandin.NewEngine(t, "i-lm", lm, model))
			} else {
				service = newCrashingEngines(s, crashes)
				s.add(sitestandin.NewReplica(t, "i-plain", plain))
			}
			s.submit("job-1", job(1, "unlucky", "item-1"))
			waitUntil(t, "all crashes", func() bool {
				service.refill(serviceReplicas)
				return service.crashCount() >= row.crashes
			})
			service.refill(serviceReplicas)
			if row.changeLeader {
				s.waitStoreLeader().kill()
				s.waitStoreLeader()
			}
			calmAt := time.Now()
			waitUntil(t, "the item, or its reward call, runs again", func() bool { return runs.Load() > int64(row.crashes) })
			if waited := time.Since(calmAt); waited > maxItemIdle {
				t.Errorf("the item was at no replica for %v", waited)
			}
			for _, result := range s.readAll("job-1").Results {
				if result.State != "completed" || result.Text != sitestandin.CompleteText(result.ID, sitestandin.DefaultEvents) {
					t.Errorf("%+v", result)
				}
			}
		})
	}
}

// crashReplicas sends a request until it has crashed enough replicas to be withheld.
func (c *crashingService) crashReplicas(path, body string, header http.Header) {
	for try := 0; c.crashCount() < maxCrashes; try++ {
		send(c.site.fronts[0].http, path, fmt.Sprintf("end-%d", try), body, header)
		c.refill(serviceReplicas)
	}
}

// waitWithheld waits until a front rejects a request without sending it to a replica.
func (c *crashingService) waitWithheld(front *process, path, body string, header http.Header) {
	c.site.t.Helper()
	tries := 0
	waitUntil(c.site.t, "the request is withheld at "+front.name, func() bool {
		tries++
		before := c.crashCount()
		status := send(front.http, path, fmt.Sprintf("held-%s-%d", front.name, tries), body, header)
		c.refill(serviceReplicas)
		return status == http.StatusServiceUnavailable && c.crashCount() == before
	})
}

// TestWithheldRequestSurvivesRestarts: withheld requests are stored in the control log;
// a front that starts after a power failure of the control machines withholds them too.
func TestWithheldRequestSurvivesRestarts(t *testing.T) {
	s := newSite(t, 3, 1)
	s.start()
	s.configure()
	service := newCrashingService(s, func(body string, _ *http.Request) bool { return body == "fatal" })
	service.crashReplicas(crashPath, "fatal", nil)
	service.waitWithheld(s.fronts[0], crashPath, "fatal", nil)
	for _, p := range s.controls {
		p.powerOff()
	}
	for _, p := range s.controls {
		s.startControl(p, false)
	}
	late := s.startFront(&process{name: "front-late"})
	waitUntil(t, "the new front has a view", func() bool { return late.watcher.ConfirmedWithin(time.Second) })
	before := service.crashCount()
	if status := send(late.http, crashPath, "late", "fatal", nil); status != http.StatusServiceUnavailable || service.crashCount() != before {
		t.Errorf("status %d, %d replicas crashed", status, service.crashCount()-before)
	}
}

// TestRequestsAreWithheldPerTenant: a request withheld for one tenant is served for another
// tenant with the same path and body.
func TestRequestsAreWithheldPerTenant(t *testing.T) {
	s := newSite(t, 3, 1)
	s.tenants = twoTenants
	s.start()
	s.configure()
	service := newCrashingService(s, func(_ string, r *http.Request) bool { return r.Header.Get(sitestandin.Headers.Tenant) == "ada" })
	service.crashReplicas(crashPath, "same", keyHeader("key-a1"))
	service.waitWithheld(s.fronts[0], crashPath, "same", keyHeader("key-a2")) // another key of the same tenant
	if status := send(s.fronts[0].http, crashPath, "bob", "same", keyHeader("key-b")); status != http.StatusOK {
		t.Errorf("the other tenant gets status %d", status)
	}
}

// TestHarmlessRequestIsReleasedAfterTrial: a withheld request that no longer crashes
// replicas gets a trial and is released. Guards against a front that is granted the same
// trial twice.
func TestHarmlessRequestIsReleasedAfterTrial(t *testing.T) {
	s := newSite(t, 3, 1)
	s.start()
	s.configure()
	var crashing atomic.Bool
	crashing.Store(true)
	service := newCrashingService(s, func(string, *http.Request) bool { return crashing.Load() })
	service.crashReplicas(crashPath, "harmless", nil)
	service.waitWithheld(s.fronts[0], crashPath, "harmless", nil)
	crashing.Store(false)
	count := 0
	retry := func() bool {
		count++
		return send(s.fronts[0].http, crashPath, fmt.Sprintf("again-%d", count), "harmless", nil) == http.StatusOK
	}
	waitUntil(t, "the trial is served", retry)
	waitUntil(t, "the request is released", retry)
	for range 5 {
		if !retry() {
			t.Error("the request is withheld again")
		}
	}
}
