package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// unconfirmedPeriod is longer than the 1.5 s after which a front no longer denies unknown routes
// and keys by its view.
const unconfirmedPeriod = 2 * time.Second

// TestOverloadedFrontWithoutControlGroup guards against a front that stops serving, or
// limiting, once its view is no longer confirmed.
func TestOverloadedFrontWithoutControlGroup(t *testing.T) {
	s, replicas := startLimitedSite(t, 0, "i-a", "i-b")
	load := s.press(s.fronts[0])
	load.waitMore()
	for _, p := range s.controls {
		p.kill()
	}
	waitUntil(t, "the front's view is out of date", func() bool {
		return !s.fronts[0].watcher.ConfirmedWithin(unconfirmedPeriod)
	})
	load.waitMore()
	checkOutcomes(t, load.stop(), nil, replicas...)
}

// TestControlLeaderIsLostUnderOverload guards against requests that depend on the leader of the
// control group.
func TestControlLeaderIsLostUnderOverload(t *testing.T) {
	s, replicas := startLimitedSite(t, 0, "i-a", "i-b")
	leader, followers := s.waitLeaderAndFollowers()
	load := s.press(s.fronts[0])
	load.waitMore()
	leader.powerOff()
	load.waitMore()
	waitUntil(t, "a follower leads", func() bool {
		return slices.ContainsFunc(followers, func(p *process) bool {
			published := p.control.PublishedState()
			return published != nil && published.LeaderReady
		})
	})
	load.waitMore()
	checkOutcomes(t, load.stop(), nil, replicas...)
}

// TestReplicaIsReplacedUnderOverload guards against senders whose limit stays with the replicas
// that they started with.
func TestReplicaIsReplacedUnderOverload(t *testing.T) {
	s, replicas := startLimitedSite(t, 0, "i-a", "i-b")
	lost, kept, added := replicas[0], replicas[1], newBoundedReplica(t, "i-c")
	load := s.press(s.fronts[0])
	load.waitMore()
	lost.Stop()
	if status, answer := s.callControl(http.MethodDelete, "/loomgrade/replicas/"+lost.ID, nil); status != http.StatusOK {
		t.Fatalf("removal: %d %s", status, answer)
	}
	s.add(added.Replica)
	waitUntil(t, "the new replica serves", func() bool { return added.totalRuns() >= pressedAnswers })
	load.waitMore()
	checkOutcomes(t, load.stop(), lost, kept, added)
}

// TestItemCompletesUnderOverload guards against reward calls that callers starve.
func TestItemCompletesUnderOverload(t *testing.T) {
	s, replicas := startLimitedSite(t, 3, "i-a", "i-b")
	s.add(sitestandin.NewEngine(t, "i-lm", lm, model))
	load := s.press(s.fronts[0])
	load.waitMore()
	var items []string
	for n := range 30 { // so many that some reward calls are refused at first
		items = append(items, fmt.Sprint("item-", n))
	}
	s.submit("job-1", job(1, items...))
	results := s.readAll("job-1").Results
	load.waitMore()
	checkOutcomes(t, load.stop(), nil, replicas...)
	for _, result := range results {
		score := "score-" + result.ID
		if result.State != "completed" || result.Score != sitestandin.SignatureOf(score) {
			t.Errorf("%+v", result)
		}
		if replicas[0].runs(score)+replicas[1].runs(score) == 0 {
			t.Errorf("%s has not run", score)
		}
	}
}

// TestFrontWithFullQueueIsStopped guards against waiting requests that a stopping front drops
// or still sends.
func TestFrontWithFullQueueIsStopped(t *testing.T) {
	s, replicas := startLimitedSite(t, 0, "i-a")
	s.startFront(&process{name: "front-1"})
	s.configure()
	replica, stopping, other := replicas[0], s.fronts[0], s.fronts[1]
	replica.held = make(chan struct{})
	release := sync.OnceFunc(func() { close(replica.held) })
	t.Cleanup(release)

	queue := fillQueue(t, stopping, replica)
	before := len(queue.ended())
	stopping.front.Drain(planned(waitTimeout))
	stopping.front.Close()
	stopping.sender.Close()
	waitUntil(t, "all requests but those that run are answered", func() bool {
		return len(queue.ended()) == queue.sent-boundedSlots
	})
	stopped := queue.ended()[before:]
	for _, got := range stopped {
		if !got.refused() || replica.runs(got.id) != 0 {
			t.Errorf("%d runs, %+v", replica.runs(got.id), got)
		}
	}
	if !slices.ContainsFunc(stopped, func(got outcome) bool { return strings.Contains(got.body, "is stopping") }) {
		t.Errorf("none of %d requests was refused because of the stop", len(stopped))
	}
	release()
	queue.callers.Wait()
	stopping.kill()
	checkOutcomes(t, queue.ended(), nil, replica)
	for _, got := range stopped {
		waitUntil(t, got.id+" is served through the other front", func() bool {
			return callFront(other, "/patient/x", got.id).status == http.StatusOK
		})
		if runs := replica.runs(got.id); runs != 1 {
			t.Errorf("%s ran %d times", got.id, runs)
		}
	}
}

// callerQueue is a set of requests, of which some wait at a front.
type callerQueue struct {
	callers  sync.WaitGroup
	sent     int
	mutex    sync.Mutex
	outcomes []outcome
}

// fillQueue sends requests through a front, whose only replica holds what it runs, until the
// front's queue is full: it refuses a request at once.
func fillQueue(t testing.TB, front *process, replica *boundedReplica) *callerQueue {
	t.Helper()
	q := &callerQueue{}
	waitUntil(t, "the front's queue is full, and all other unanswered requests run", func() bool {
		waiting := front.sender.SendReading().Waiting
		if waiting > 0 && waiting == q.sent-len(q.ended())-boundedSlots && q.hasUnsent(replica) {
			return true
		}
		q.send(front)
		return false
	})
	return q
}

func (q *callerQueue) send(front *process) {
	id := fmt.Sprint("queued-", q.sent)
	q.sent++
	q.callers.Go(func() {
		got := callFront(front, "/patient/x", id)
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.outcomes = append(q.outcomes, got)
	})
}

// ended returns the answers so far, in their order.
func (q *callerQueue) ended() []outcome {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return slices.Clone(q.outcomes)
}

// hasUnsent reports whether a request was answered that did not arrive at the replica.
func (q *callerQueue) hasUnsent(replica *boundedReplica) bool {
	ended := q.ended()
	arrived := map[string]bool{}
	for _, arrival := range replica.Arrivals() {
		arrived[arrival.ID] = true
	}
	return slices.ContainsFunc(ended, func(got outcome) bool { return !arrived[got.id] })
}
