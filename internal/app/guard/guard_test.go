package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

var testRequest = quarantine.Request{Method: "POST", Host: "a.example", Target: "/x", Body: []byte("body")}

// controlGroup is a control group that applies events to a ledger, or fails.
type controlGroup struct {
	mutex    sync.Mutex
	fails    bool
	ledger   quarantine.Ledger
	received []quarantine.Event
}

func (g *controlGroup) send(_ context.Context, events []quarantine.Event) (sitestate.Outcome, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.fails {
		return 0, errors.New("no leader")
	}
	outcome := sitestate.OutcomeIgnored
	for _, event := range events {
		g.received = append(g.received, event)
		if _, applied := g.ledger.Apply(event); applied {
			outcome = sitestate.OutcomeDone
		}
	}
	return outcome, nil
}

func (g *controlGroup) view() *siteview.View {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	suspects := g.ledger.Shared()
	replicas := sitestate.SetOf(sitestate.Replica{ID: "r1"}, sitestate.Replica{ID: "r2"}, sitestate.Replica{ID: "r3"}, sitestate.Replica{ID: "r4"})
	return &siteview.View{View: &sitestate.View{Suspects: suspects, Quarantine: quarantine.NewIndex(suspects), Replicas: replicas}}
}

func (g *controlGroup) kinds() (kinds []quarantine.EventKind) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, event := range g.received {
		kinds = append(kinds, event.Kind)
	}
	return kinds
}

func newTestGuard(t *testing.T, control *controlGroup, sender string) *Guard {
	g := New(Config{
		Sender: sender, View: control.view, Send: control.send,
		Logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

func drainOutbox(t *testing.T, g *Guard) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.outbox.drain(ctx)
	if ctx.Err() != nil {
		t.Fatal("the outbox was not drained")
	}
}

// TestCrashesAreSharedBetweenProcesses checks that a request that crashed three replicas at one
// process is withheld at another.
func TestCrashesAreSharedBetweenProcesses(t *testing.T) {
	control := &controlGroup{}
	first, second := newTestGuard(t, control, "a"), newTestGuard(t, control, "b")
	for _, replica := range []string{"r1", "r2", "r3"} {
		if admitted := second.Admit(context.Background(), &testRequest); admitted.Withheld {
			t.Fatalf("withheld before %s crashed", replica)
		}
		first.RecordCrash(testRequest.Fingerprint(), replica)
		drainOutbox(t, first)
	}
	if admitted := second.Admit(context.Background(), &testRequest); !admitted.Withheld || admitted.RetryAfter <= 0 {
		t.Errorf("%+v", admitted)
	}
	if !second.Withholds(&testRequest) {
		t.Error("a request in flight may still be sent again")
	}
	other := testRequest
	other.Caller = "another tenant"
	if admitted := second.Admit(context.Background(), &other); admitted != (Admission{}) {
		t.Errorf("another caller's request: %+v", admitted)
	}
	second.RecordServed(testRequest.Fingerprint())
	drainOutbox(t, second)
	if admitted := first.Admit(context.Background(), &testRequest); admitted != (Admission{}) {
		t.Errorf("after an answer: %+v", admitted)
	}
}

// TestTrialIsGrantedToOneProcess checks that only one of two processes gets a trial that is due.
func TestTrialIsGrantedToOneProcess(t *testing.T) {
	control := &controlGroup{}
	first, second := newTestGuard(t, control, "a"), newTestGuard(t, control, "b")
	for _, replica := range []string{"r1", "r2", "r3"} {
		first.RecordCrash(testRequest.Fingerprint(), replica)
	}
	drainOutbox(t, first)
	start := time.Now()
	for _, g := range []*Guard{first, second} {
		g.Observe(control.view())
	}
	suspect := control.view().Quarantine.Find(&testRequest)
	for i, row := range []struct {
		after time.Duration
		due   bool
	}{{0, false}, {trialDelays[0] - time.Second, false}, {trialDelays[0] + time.Second, true}} {
		number, wait := first.dueTrial(suspect, start.Add(row.after))
		if due := wait <= 0; due != row.due || (due && number != 1) {
			t.Errorf("row %d: trial %d in %v", i, number, wait)
		}
	}
	if _, wait := first.dueTrial(suspect, start.Add(time.Minute)); wait <= 0 {
		t.Error("a second request got the trial that the first one is requesting")
	}
	first.finishTrialRequest(suspect.Fingerprint, 0)
	for _, g := range []*Guard{first, second} {
		g.withheld[suspect.Fingerprint] = withholding{since: start.Add(-time.Hour)}
	}
	if admitted := first.Admit(context.Background(), &testRequest); !admitted.Trial {
		t.Errorf("no trial: %+v", admitted)
	}
	if admitted := second.Admit(context.Background(), &testRequest); admitted.Trial || !admitted.Withheld {
		t.Errorf("two trials: %+v", admitted)
	}
}

// TestTrialWithLostGrantIsSentOnce checks that a trial whose grant was lost is sent once as
// soon as the view shows it.
func TestTrialWithLostGrantIsSentOnce(t *testing.T) {
	control := &controlGroup{}
	g := newTestGuard(t, control, "a")
	for _, replica := range []string{"r1", "r2", "r3"} {
		g.RecordCrash(testRequest.Fingerprint(), replica)
	}
	drainOutbox(t, g)
	if outcome, err := control.send(context.Background(), []quarantine.Event{{Kind: quarantine.EventTrial, Fingerprint: testRequest.Fingerprint(), Trial: 1, Sender: "a"}}); err != nil || outcome != sitestate.OutcomeDone {
		t.Fatal(outcome, err)
	}
	if admitted := g.Admit(context.Background(), &testRequest); !admitted.Trial {
		t.Errorf("not sent: %+v", admitted)
	}
	if admitted := g.Admit(context.Background(), &testRequest); admitted.Trial || !admitted.Withheld {
		t.Errorf("sent twice: %+v", admitted)
	}
}

// TestTrialIsSentOnceWithStaleView checks that a trial is sent only once while the view
// lags behind the response that granted it.
func TestTrialIsSentOnceWithStaleView(t *testing.T) {
	control := &controlGroup{}
	g := newTestGuard(t, control, "a")
	for _, replica := range []string{"r1", "r2", "r3"} {
		g.RecordCrash(testRequest.Fingerprint(), replica)
	}
	drainOutbox(t, g)
	stale := control.view()
	g.config.View = func() *siteview.View { return stale }
	passTrialDelay(g)
	if admitted := g.Admit(context.Background(), &testRequest); !admitted.Trial {
		t.Fatalf("no trial: %+v", admitted)
	}
	for range 3 {
		if admitted := g.Admit(context.Background(), &testRequest); admitted.Trial || !admitted.Withheld {
			t.Errorf("trial 1 is sent again: %+v", admitted)
		}
	}
	g.config.View = control.view
	if admitted := g.Admit(context.Background(), &testRequest); admitted.Trial || !admitted.Withheld {
		t.Errorf("trial 1 is sent again once the view has it: %+v", admitted)
	}
	passTrialDelay(g)
	if admitted := g.Admit(context.Background(), &testRequest); !admitted.Trial {
		t.Errorf("no second trial: %+v", admitted)
	}
}

// TestTrialsRestartForNewWithholding checks that trials restart for a request that was
// cleared and withheld for other replicas between two views.
func TestTrialsRestartForNewWithholding(t *testing.T) {
	control := &controlGroup{}
	g := newTestGuard(t, control, "a")
	for _, replica := range []string{"r1", "r2", "r3"} {
		g.RecordCrash(testRequest.Fingerprint(), replica)
	}
	drainOutbox(t, g)
	passTrialDelay(g)
	if admitted := g.Admit(context.Background(), &testRequest); !admitted.Trial {
		t.Fatalf("no trial: %+v", admitted)
	}
	g.RecordServed(testRequest.Fingerprint())
	for _, replica := range []string{"r5", "r6", "r7"} {
		g.RecordCrash(testRequest.Fingerprint(), replica)
	}
	drainOutbox(t, g)
	if admitted := g.Admit(context.Background(), &testRequest); !admitted.Withheld {
		t.Fatalf("not withheld after three more crashes: %+v", admitted)
	}
	passTrialDelay(g)
	if admitted := g.Admit(context.Background(), &testRequest); !admitted.Trial {
		t.Errorf("no trial: %+v", admitted)
	}
}

// passTrialDelay applies the view and lets every trial become due.
func passTrialDelay(g *Guard) {
	g.Observe(g.config.View())
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for fingerprint, state := range g.withheld {
		state.since = state.since.Add(-time.Hour)
		g.withheld[fingerprint] = state
	}
}

// TestAnswerShowsReplicaIsAlive checks that only an answer to a request sent after the
// reported crash shows that the replica is alive.
func TestAnswerShowsReplicaIsAlive(t *testing.T) {
	control := &controlGroup{}
	g := newTestGuard(t, control, "a")
	before := time.Now()
	g.RecordCrash(testRequest.Fingerprint(), "r1")
	g.RecordAnswer("r1", before)
	g.RecordAnswer("r2", time.Now())
	drainOutbox(t, g)
	if kinds := control.kinds(); !slices.Equal(kinds, []quarantine.EventKind{quarantine.EventCrashed}) {
		t.Fatalf("reported %v", kinds)
	}
	g.RecordAnswer("r1", time.Now())
	g.RecordAnswer("r1", time.Now())
	drainOutbox(t, g)
	if kinds := control.kinds(); !slices.Equal(kinds, []quarantine.EventKind{quarantine.EventCrashed, quarantine.EventAlive}) {
		t.Errorf("reported %v", kinds)
	}
}

// TestPendingEventsAreLimited checks that events stay pending while the control
// group fails, up to the limit.
func TestPendingEventsAreLimited(t *testing.T) {
	control := &controlGroup{fails: true}
	g := newTestGuard(t, control, "a")
	for i := range 2 * maxPendingEvents {
		g.RecordCrash(testRequest.Fingerprint(), fmt.Sprint("r", i))
	}
	if pending := g.outbox.length(); pending != maxPendingEvents {
		t.Errorf("%d events pending", pending)
	}
	control.mutex.Lock()
	control.fails = false
	control.mutex.Unlock()
	drainOutbox(t, g)
	if reported := len(control.kinds()); reported < maxPendingEvents {
		t.Errorf("%d events reported", reported)
	}
}

func TestNilGuard(t *testing.T) {
	var g *Guard
	g.RecordCrash(testRequest.Fingerprint(), "r")
	g.RecordServed(testRequest.Fingerprint())
	g.RecordAnswer("r", time.Now())
	g.Observe(&siteview.View{View: &sitestate.View{}})
	g.Drain(context.Background())
	if g.Admit(context.Background(), &testRequest) != (Admission{}) || g.Withholds(&testRequest) {
		t.Error("a nil Guard withholds a request")
	}
}
