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

var asked = quarantine.Request{Method: "POST", Host: "a.example", Target: "/x", Body: []byte("body")}

// group stands for the control group: it keeps a ledger, or fails.
type group struct {
	mutex  sync.Mutex
	fails  bool
	ledger quarantine.Ledger
	seen   []quarantine.Event
}

func (g *group) send(_ context.Context, events []quarantine.Event) (sitestate.Outcome, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.fails {
		return 0, errors.New("no leader")
	}
	outcome := sitestate.OutcomeIgnored
	for _, event := range events {
		g.seen = append(g.seen, event)
		if _, taken := g.ledger.Apply(event); taken {
			outcome = sitestate.OutcomeDone
		}
	}
	return outcome, nil
}

func (g *group) view() *siteview.View {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	suspects := g.ledger.Shared()
	replicas := sitestate.SetOf(sitestate.Replica{ID: "r1"}, sitestate.Replica{ID: "r2"}, sitestate.Replica{ID: "r3"}, sitestate.Replica{ID: "r4"})
	return &siteview.View{View: &sitestate.View{Suspects: suspects, Quarantine: quarantine.NewIndex(suspects), Replicas: replicas}}
}

func (g *group) kinds() (kinds []quarantine.EventKind) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, event := range g.seen {
		kinds = append(kinds, event.Kind)
	}
	return kinds
}

func newTestGuard(t *testing.T, control *group, sender string) *Guard {
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

func drained(t *testing.T, g *Guard) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g.outbox.drain(ctx)
	if ctx.Err() != nil {
		t.Fatal("the control group was not told")
	}
}

// TestWhatOneProcessSawHoldsAtAnother: three replicas end under a request at one process, and
// another one does not send it.
func TestCrashesAreSharedBetweenProcesses(t *testing.T) {
	control := &group{}
	first, second := newTestGuard(t, control, "a"), newTestGuard(t, control, "b")
	for _, replica := range []string{"r1", "r2", "r3"} {
		if admitted := second.Admit(context.Background(), &asked); admitted.Withheld {
			t.Fatalf("withheld before %s ended", replica)
		}
		first.Ended(asked.Fingerprint(), replica)
		drained(t, first)
	}
	if admitted := second.Admit(context.Background(), &asked); !admitted.Withheld || admitted.RetryAfter <= 0 {
		t.Errorf("%+v", admitted)
	}
	if !second.Withholds(&asked) {
		t.Error("sent again while it is under way")
	}
	other := asked
	other.Caller = "another tenant"
	if admitted := second.Admit(context.Background(), &other); admitted != (Admission{}) {
		t.Errorf("another caller's request: %+v", admitted)
	}
	second.Served(asked.Fingerprint())
	drained(t, second)
	if admitted := first.Admit(context.Background(), &asked); admitted != (Admission{}) {
		t.Errorf("after an answer: %+v", admitted)
	}
}

// TestTrialsAreOneSendEach: when a trial is due one of two processes gets it.
func TestTrialIsGrantedToOneProcess(t *testing.T) {
	control := &group{}
	first, second := newTestGuard(t, control, "a"), newTestGuard(t, control, "b")
	for _, replica := range []string{"r1", "r2", "r3"} {
		first.Ended(asked.Fingerprint(), replica)
	}
	drained(t, first)
	began := time.Now()
	for _, g := range []*Guard{first, second} {
		g.Observe(control.view())
	}
	suspect := control.view().Quarantine.Find(&asked)
	for i, row := range []struct {
		after time.Duration
		due   bool
	}{{0, false}, {trialAfter[0] - time.Second, false}, {trialAfter[0] + time.Second, true}} {
		number, wait := first.dueTrial(suspect, began.Add(row.after))
		if due := wait <= 0; due != row.due || (due && number != 1) {
			t.Errorf("row %d: trial %d in %v", i, number, wait)
		}
	}
	if _, wait := first.dueTrial(suspect, began.Add(time.Minute)); wait <= 0 {
		t.Error("a second request got the trial that the first is asking for")
	}
	first.askedTrial(suspect.Fingerprint, 0)
	for _, g := range []*Guard{first, second} { // long ago, as they see it
		g.withheld[suspect.Fingerprint] = sighting{since: began.Add(-time.Hour)}
	}
	if admitted := first.Admit(context.Background(), &asked); !admitted.Trial {
		t.Errorf("no trial: %+v", admitted)
	}
	if admitted := second.Admit(context.Background(), &asked); admitted.Trial || !admitted.Withheld {
		t.Errorf("two trials: %+v", admitted)
	}
}

// TestATrialWhoseAnswerWasLostIsSent: the control group gave it, and the process heard nothing. It
// is sent once when the view shows it.
func TestTrialWithLostGrantIsSentOnce(t *testing.T) {
	control := &group{}
	g := newTestGuard(t, control, "a")
	for _, replica := range []string{"r1", "r2", "r3"} {
		g.Ended(asked.Fingerprint(), replica)
	}
	drained(t, g)
	if outcome, err := control.send(context.Background(), []quarantine.Event{{Kind: quarantine.EventTrial, Fingerprint: asked.Fingerprint(), Trial: 1, Sender: "a"}}); err != nil || outcome != sitestate.OutcomeDone {
		t.Fatal(outcome, err)
	}
	if admitted := g.Admit(context.Background(), &asked); !admitted.Trial {
		t.Errorf("not sent: %+v", admitted)
	}
	if admitted := g.Admit(context.Background(), &asked); admitted.Trial || !admitted.Withheld {
		t.Errorf("sent twice: %+v", admitted)
	}
}

// TestATrialIsOneSendThoughTheViewIsBehind: a front's view comes after the answer that gave it
// a trial. Until it did, each try of the caller was sent, as the same trial: a request that is
// the cause took a replica each time, and one that is not was served, and refused as soon as
// the view had the trial. It showed as two answers and then refusals, in the front's lines:
// trial 1 was sent twice within 4 ms while the view had none given.
func TestTrialIsSentOnceWithStaleView(t *testing.T) {
	control := &group{}
	g := newTestGuard(t, control, "a")
	for _, replica := range []string{"r1", "r2", "r3"} {
		g.Ended(asked.Fingerprint(), replica)
	}
	drained(t, g)
	behind := control.view()
	g.config.View = func() *siteview.View { return behind }
	longWithheld(g)
	if admitted := g.Admit(context.Background(), &asked); !admitted.Trial {
		t.Fatalf("no trial: %+v", admitted)
	}
	for range 3 {
		if admitted := g.Admit(context.Background(), &asked); admitted.Trial || !admitted.Withheld {
			t.Errorf("trial 1 is sent again: %+v", admitted)
		}
	}
	g.config.View = control.view
	if admitted := g.Admit(context.Background(), &asked); admitted.Trial || !admitted.Withheld {
		t.Errorf("trial 1 is sent again once the view has it: %+v", admitted)
	}
	longWithheld(g)
	if admitted := g.Admit(context.Background(), &asked); !admitted.Trial {
		t.Errorf("no second trial: %+v", admitted)
	}
}

// TestARequestThatIsWithheldAnewHasItsTrials: it was let go and withheld for other replicas,
// between two views that the process got.
func TestTrialsRestartForNewWithholding(t *testing.T) {
	control := &group{}
	g := newTestGuard(t, control, "a")
	for _, replica := range []string{"r1", "r2", "r3"} {
		g.Ended(asked.Fingerprint(), replica)
	}
	drained(t, g)
	longWithheld(g)
	if admitted := g.Admit(context.Background(), &asked); !admitted.Trial {
		t.Fatalf("no trial: %+v", admitted)
	}
	g.Served(asked.Fingerprint())
	for _, replica := range []string{"r5", "r6", "r7"} {
		g.Ended(asked.Fingerprint(), replica)
	}
	drained(t, g)
	if admitted := g.Admit(context.Background(), &asked); !admitted.Withheld {
		t.Fatalf("sent though three more ended: %+v", admitted)
	}
	longWithheld(g)
	if admitted := g.Admit(context.Background(), &asked); !admitted.Trial {
		t.Errorf("no trial: %+v", admitted)
	}
}

// longWithheld lets the time pass that a trial waits for, since the process had its view.
func longWithheld(g *Guard) {
	g.Observe(g.config.View())
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for fingerprint, seen := range g.withheld {
		seen.since = seen.since.Add(-time.Hour)
		g.withheld[fingerprint] = seen
	}
}

// TestAReplicaThatAnswersHadNotEnded: only an answer to what was sent after the end was seen
// tells that.
func TestAnswerShowsReplicaIsAlive(t *testing.T) {
	control := &group{}
	g := newTestGuard(t, control, "a")
	before := time.Now()
	g.Ended(asked.Fingerprint(), "r1")
	g.Answered("r1", before)
	g.Answered("r2", time.Now())
	drained(t, g)
	if kinds := control.kinds(); !slices.Equal(kinds, []quarantine.EventKind{quarantine.EventCrashed}) {
		t.Fatalf("told %v", kinds)
	}
	g.Answered("r1", time.Now())
	g.Answered("r1", time.Now())
	drained(t, g)
	if kinds := control.kinds(); !slices.Equal(kinds, []quarantine.EventKind{quarantine.EventCrashed, quarantine.EventAlive}) {
		t.Errorf("told %v", kinds)
	}
}

// TestWhatWasSeenWaitsForTheControlGroup also holds that it is bounded.
func TestPendingEventsAreLimited(t *testing.T) {
	control := &group{fails: true}
	g := newTestGuard(t, control, "a")
	for i := range 2 * maxPending {
		g.Ended(asked.Fingerprint(), fmt.Sprint("r", i))
	}
	if pending := g.outbox.length(); pending != maxPending {
		t.Errorf("%d events wait", pending)
	}
	control.mutex.Lock()
	control.fails = false
	control.mutex.Unlock()
	drained(t, g)
	if told := len(control.kinds()); told < maxPending {
		t.Errorf("%d events told", told)
	}
}

func TestNilGuard(t *testing.T) {
	var g *Guard
	g.Ended(asked.Fingerprint(), "r")
	g.Served(asked.Fingerprint())
	g.Answered("r", time.Now())
	g.Observe(&siteview.View{View: &sitestate.View{}})
	g.Drain(context.Background())
	if g.Admit(context.Background(), &asked) != (Admission{}) || g.Withholds(&asked) {
		t.Error("withheld")
	}
}
