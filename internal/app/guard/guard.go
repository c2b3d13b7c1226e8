package guard

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// drainTimeout limits how long a stopping process waits to send its reports. Other
	// processes may report the same crashes.
	drainTimeout = 500 * time.Millisecond
	// noTrialsRetryAfter is the RetryAfter of a request that has no trial left.
	noTrialsRetryAfter = time.Minute
	// trialRequestTimeout limits the request for a trial, for which the caller waits.
	trialRequestTimeout = 300 * time.Millisecond
	// trialPendingRetryAfter is the RetryAfter while another sender's trial is pending.
	trialPendingRetryAfter = 2 * time.Second
)

// trialDelays are how long this process must have seen a request withheld before each
// trial. The first gives a crashed replica time to restart, which takes about 2 s. The second
// is longer because each trial of a request that causes crashes costs a replica: it leaves time
// for several restarts.
var trialDelays = [quarantine.MaxTrials]time.Duration{4 * time.Second, 30 * time.Second}

// SendFunc proposes events to the control log and returns the outcome of the last one.
type SendFunc func(ctx context.Context, events []quarantine.Event) (sitestate.Outcome, error)

// Config configures a Guard.
type Config struct {
	// Sender identifies this start of the process.
	Sender string
	// View returns the current view of the site, or nil.
	View   func() *siteview.View
	Send   SendFunc
	Logger *log.Logger
}

// Guard decides which requests a process sends. It is safe for concurrent use and reports
// only while Run runs. A nil Guard withholds nothing.
type Guard struct {
	config Config
	outbox *outbox

	mutex sync.Mutex
	// withheld are the withheld requests.
	withheld map[quarantine.Fingerprint]withholding
	// crashed are replicas presumed crashed, with the time of the report.
	crashed map[string]time.Time
	// crashedCount is the length of crashed, read without the mutex on each answer.
	crashedCount atomic.Int64
}

// withholding is the state of a withheld request.
type withholding struct {
	replicas []string
	trials   int
	since    time.Time // when it was withheld, or when its latest trial was seen
	// requesting is set while a trial is requested; lastTrial is the last one sent here.
	requesting bool
	lastTrial  int
}

// supersededBy reports whether suspect is a later withholding of the same request: it names
// none of the replicas of this one.
func (s withholding) supersededBy(suspect *quarantine.Suspect) bool {
	named := func(replica string) bool { return slices.Contains(s.replicas, replica) }
	return len(s.replicas) > 0 && !slices.ContainsFunc(suspect.Replicas, named)
}

// New returns a Guard.
func New(config Config) *Guard {
	return &Guard{
		config: config, outbox: newOutbox(config.Send, config.Logger),
		withheld: map[quarantine.Fingerprint]withholding{}, crashed: map[string]time.Time{},
	}
}

// Run reports observations until ctx ends.
func (g *Guard) Run(ctx context.Context) error { return g.outbox.run(ctx) }

// Drain blocks until all observations are reported, for drainTimeout at most.
func (g *Guard) Drain(ctx context.Context) {
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	g.outbox.drain(ctx)
}

// Admission is the decision on a request.
type Admission struct {
	// Suspect is set if replicas crashed during the request. If it is served, the caller
	// must call RecordServed.
	Suspect bool
	// Withheld is set if it must not be sent. RetryAfter is the wait until that may change.
	Withheld   bool
	RetryAfter time.Duration
	// Trial is set if it may be sent once, to one replica.
	Trial bool
}

// Admit decides on a request before its first send. If a trial is due, it requests one from
// the control group.
func (g *Guard) Admit(ctx context.Context, request *quarantine.Request) Admission {
	suspect := g.find(request)
	switch {
	case suspect == nil:
		return Admission{}
	case !suspect.Withheld():
		return Admission{Suspect: true}
	}
	number, wait := g.dueTrial(suspect, time.Now())
	switch {
	case wait > 0:
		return Admission{Suspect: true, Withheld: true, RetryAfter: wait}
	case number == suspect.Trials: // granted before, but the response was lost
		g.logTrial(suspect, number, true)
		return Admission{Suspect: true, Trial: true}
	}
	sentTrial := 0
	defer func() { g.finishTrialRequest(suspect.Fingerprint, sentTrial) }()
	ctx, cancel := context.WithTimeout(ctx, trialRequestTimeout)
	defer cancel()
	outcome, err := g.config.Send(ctx, []quarantine.Event{{
		Kind: quarantine.EventTrial, Fingerprint: suspect.Fingerprint, Trial: number, Sender: g.config.Sender,
	}})
	granted := err == nil && outcome == sitestate.OutcomeDone
	g.logTrial(suspect, number, granted)
	if !granted {
		return Admission{Suspect: true, Withheld: true, RetryAfter: trialPendingRetryAfter}
	}
	sentTrial = number
	return Admission{Suspect: true, Trial: true}
}

// logTrial logs the outcome of a request for a trial.
func (g *Guard) logTrial(suspect *quarantine.Suspect, number int, granted bool) {
	g.config.Logger.Info().Str(eventlog.Field, eventlog.QuarantineTrial).Str("fingerprint", suspect.Fingerprint.String()).
		Int("trial", number).Bool("given", granted).Int("trials_in_view", suspect.Trials).Int("ends_in_view", len(suspect.Replicas)).
		Msg("requested a trial of a withheld request")
}

// Withholds reports whether a request must not be sent again.
func (g *Guard) Withholds(request *quarantine.Request) bool {
	suspect := g.find(request)
	return suspect != nil && suspect.Withheld()
}

func (g *Guard) find(request *quarantine.Request) *quarantine.Suspect {
	if g == nil {
		return nil
	}
	view := g.config.View()
	if view == nil {
		return nil
	}
	return view.Quarantine.Find(request)
}

// dueTrial returns the number of the trial that is due, or the wait until one may be due. A
// trial that was granted to this process and not sent yet is due immediately.
func (g *Guard) dueTrial(suspect *quarantine.Suspect, now time.Time) (number int, wait time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.track(suspect, now)
	if suspect.Sender == g.config.Sender && state.lastTrial < suspect.Trials {
		state.lastTrial = suspect.Trials
		g.withheld[suspect.Fingerprint] = state
		return suspect.Trials, 0
	}
	if suspect.Trials >= quarantine.MaxTrials {
		return 0, noTrialsRetryAfter
	}
	if state.requesting || state.lastTrial > suspect.Trials {
		// The view may lag behind the response that granted the trial. A second request
		// would return the same trial, since the first response could have been lost.
		return 0, trialPendingRetryAfter
	}
	if wait := trialDelays[suspect.Trials] - now.Sub(state.since); wait > 0 {
		return 0, wait
	}
	state.requesting = true
	g.withheld[suspect.Fingerprint] = state
	return suspect.Trials + 1, 0
}

// finishTrialRequest records the end of a request for a trial. sentTrial is the number of the
// trial if it is sent now, else 0.
func (g *Guard) finishTrialRequest(fingerprint quarantine.Fingerprint, sentTrial int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if state, known := g.withheld[fingerprint]; known {
		state.requesting, state.lastTrial = false, max(state.lastTrial, sentTrial)
		g.withheld[fingerprint] = state
	}
}

// track updates the state of a withheld request. The time since it was withheld restarts
// with each trial. The caller must hold g.mutex.
func (g *Guard) track(suspect *quarantine.Suspect, now time.Time) withholding {
	state, known := g.withheld[suspect.Fingerprint]
	switch {
	case !known || state.supersededBy(suspect):
		state = withholding{since: now, requesting: state.requesting}
	case state.trials != suspect.Trials:
		state.since = now
	}
	state.replicas, state.trials = suspect.Replicas, suspect.Trials
	g.withheld[suspect.Fingerprint] = state
	return state
}

// Observe applies a new view.
func (g *Guard) Observe(view *siteview.View) {
	if g == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(view.Suspects) == 0 && len(g.crashed) == 0 && len(g.withheld) == 0 {
		return
	}
	now := time.Now()
	withheld := map[quarantine.Fingerprint]bool{}
	for i := range view.Suspects {
		suspect := &view.Suspects[i]
		if suspect.Withheld() {
			withheld[suspect.Fingerprint] = true
			g.track(suspect, now)
		}
		for _, replica := range suspect.Replicas {
			if _, known := g.crashed[replica]; !known {
				g.crashed[replica] = now
			}
		}
	}
	for fingerprint := range g.withheld {
		if !withheld[fingerprint] {
			delete(g.withheld, fingerprint)
		}
	}
	for replica := range g.crashed {
		if !view.Replicas.Has(replica) {
			delete(g.crashed, replica)
		}
	}
	g.crashedCount.Store(int64(len(g.crashed)))
}

// RecordCrash records that a replica closed the connection while it ran a request.
func (g *Guard) RecordCrash(fingerprint quarantine.Fingerprint, replica string) {
	if g == nil {
		return
	}
	g.mutex.Lock()
	g.crashed[replica] = time.Now()
	g.crashedCount.Store(int64(len(g.crashed)))
	g.mutex.Unlock()
	g.outbox.add(quarantine.Event{Kind: quarantine.EventCrashed, Fingerprint: fingerprint, Replica: replica})
}

// RecordServed records a complete answer to a suspect request.
func (g *Guard) RecordServed(fingerprint quarantine.Fingerprint) {
	if g != nil {
		g.outbox.add(quarantine.Event{Kind: quarantine.EventServed, Fingerprint: fingerprint})
	}
}

// RecordAnswer records that a replica answered a request sent at the given time. If the
// replica was presumed crashed before that time, it is reported alive.
func (g *Guard) RecordAnswer(replica string, sent time.Time) {
	if g == nil || g.crashedCount.Load() == 0 {
		return
	}
	g.mutex.Lock()
	at, presumed := g.crashed[replica]
	alive := presumed && sent.After(at)
	if alive {
		delete(g.crashed, replica)
		g.crashedCount.Store(int64(len(g.crashed)))
	}
	g.mutex.Unlock()
	if alive {
		g.outbox.add(quarantine.Event{Kind: quarantine.EventAlive, Replica: replica})
	}
}
