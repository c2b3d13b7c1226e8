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
	// drainTimeout is how long a process that stops waits to tell what it saw: others may see
	// it too, and the process has to end in its time.
	drainTimeout = 500 * time.Millisecond
	// lastRefusal is when a caller may ask again for a request that has no trial left.
	lastRefusal = time.Minute
	// askTimeout bounds the question for a trial: whoever sent the request waits for it, and
	// is refused if it is not answered.
	askTimeout = 300 * time.Millisecond
	// shortRefusal is when it may ask again if another sender's trial is under way.
	shortRefusal = 2 * time.Second
)

// trialAfter is how long a request has been withheld, as seen here, before each trial. A
// replica that ended is back after about 2 s: the first trial comes when one is there to
// answer again. The second is for requests that were unlucky twice, and each trial of one
// that is the cause takes a replica: it waits until that has been replaced several times over.
var trialAfter = [quarantine.MaxTrials]time.Duration{4 * time.Second, 30 * time.Second}

// SendFunc puts events into the control log and gives the outcome of the last one.
type SendFunc func(ctx context.Context, events []quarantine.Event) (sitestate.Outcome, error)

// Config sets a Guard up.
type Config struct {
	// Sender names this start of the process.
	Sender string
	// View gives what the process knows of the site, or nil.
	View   func() *siteview.View
	Send   SendFunc
	Logger *log.Logger
}

// Guard decides which requests a process sends. It is safe for concurrent use; Run has to
// run. A nil Guard withholds nothing.
type Guard struct {
	config Config
	outbox *outbox

	mutex sync.Mutex
	// withheld is what the process knows of requests that are withheld.
	withheld map[quarantine.Fingerprint]sighting
	// ended are replicas that are taken to have ended, with when that was learned.
	ended map[string]time.Time
	// endedCount is the length of ended, read without the lock on each answer.
	endedCount atomic.Int64
}

// sighting is since when a request has been withheld for replicas, after so many trials.
type sighting struct {
	replicas []string
	trials   int
	since    time.Time
	// asking is set while a trial is asked for; used is the last one that was sent here.
	asking bool
	used   int
}

// before reports whether a request was let go since it was seen, and is withheld anew: it is
// blamed for other replicas then.
func (s sighting) before(suspect *quarantine.Suspect) bool {
	known := func(replica string) bool { return slices.Contains(s.replicas, replica) }
	return len(s.replicas) > 0 && !slices.ContainsFunc(suspect.Replicas, known)
}

// New makes a Guard.
func New(config Config) *Guard {
	return &Guard{
		config: config, outbox: newOutbox(config.Send, config.Logger),
		withheld: map[quarantine.Fingerprint]sighting{}, ended: map[string]time.Time{},
	}
}

// Run hands on what was seen until the context ends.
func (g *Guard) Run(ctx context.Context) error { return g.outbox.run(ctx) }

// Drain waits a moment until the control group has all that was seen, or the end of ctx.
func (g *Guard) Drain(ctx context.Context) {
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	g.outbox.drain(ctx)
}

// Admission says whether a request may be sent.
type Admission struct {
	// Suspect is set if replicas have ended under the request: its answer is to be told.
	Suspect bool
	// Withheld is set if it must not be sent; RetryAfter is when that may change.
	Withheld   bool
	RetryAfter time.Duration
	// Trial is set if it may be sent once, to one replica.
	Trial bool
}

// Admit decides about a request before its first send. It asks the control group if a trial
// is due.
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
	case number == suspect.Trials: // it was given before, and the answer was lost
		g.logTrial(suspect, number, true)
		return Admission{Suspect: true, Trial: true}
	}
	used := 0
	defer func() { g.askedTrial(suspect.Fingerprint, used) }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	outcome, err := g.config.Send(ctx, []quarantine.Event{{
		Kind: quarantine.EventTrial, Fingerprint: suspect.Fingerprint, Trial: number, Sender: g.config.Sender,
	}})
	given := err == nil && outcome == sitestate.OutcomeDone
	g.logTrial(suspect, number, given)
	if !given {
		return Admission{Suspect: true, Withheld: true, RetryAfter: shortRefusal}
	}
	used = number
	return Admission{Suspect: true, Trial: true}
}

// logTrial logs what became of the question for a trial. There are few: each waits for its
// time, and a request has few trials.
func (g *Guard) logTrial(suspect *quarantine.Suspect, number int, given bool) {
	g.config.Logger.Info().Str(eventlog.Field, eventlog.QuarantineTrial).Str("fingerprint", suspect.Fingerprint.String()).
		Int("trial", number).Bool("given", given).Int("trials_in_view", suspect.Trials).Int("ends_in_view", len(suspect.Replicas)).
		Msg("a trial of a request that is withheld was asked for")
}

// Withholds reports whether a request must not be sent any more.
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

// dueTrial gives the number of the trial that is due, or how long there is none. One that was
// given to this process and not sent yet is due at once.
func (g *Guard) dueTrial(suspect *quarantine.Suspect, now time.Time) (number int, wait time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	seen := g.see(suspect, now)
	if suspect.Sender == g.config.Sender && seen.used < suspect.Trials {
		seen.used = suspect.Trials
		g.withheld[suspect.Fingerprint] = seen
		return suspect.Trials, 0
	}
	if suspect.Trials >= quarantine.MaxTrials {
		return 0, lastRefusal
	}
	if seen.asking || seen.used > suspect.Trials {
		// The view may come after the answer that gave the trial. Asked again, the control
		// group gives the same one: its answer could have been lost.
		return 0, shortRefusal
	}
	if wait := trialAfter[suspect.Trials] - now.Sub(seen.since); wait > 0 {
		return 0, wait
	}
	seen.asking = true
	g.withheld[suspect.Fingerprint] = seen
	return suspect.Trials + 1, 0
}

// askedTrial notes that a trial was asked for; used is its number if it is sent now, else 0.
func (g *Guard) askedTrial(fingerprint quarantine.Fingerprint, used int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if seen, known := g.withheld[fingerprint]; known {
		seen.asking, seen.used = false, max(seen.used, used)
		g.withheld[fingerprint] = seen
	}
}

// see notes, under the lock, since when a request has been withheld. The time begins anew
// with each trial.
func (g *Guard) see(suspect *quarantine.Suspect, now time.Time) sighting {
	seen, known := g.withheld[suspect.Fingerprint]
	switch {
	case !known || seen.before(suspect):
		seen = sighting{since: now, asking: seen.asking}
	case seen.trials != suspect.Trials:
		seen.since = now
	}
	seen.replicas, seen.trials = suspect.Replicas, suspect.Trials
	g.withheld[suspect.Fingerprint] = seen
	return seen
}

// Observe takes a new view in.
func (g *Guard) Observe(view *siteview.View) {
	if g == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(view.Suspects) == 0 && len(g.ended) == 0 && len(g.withheld) == 0 {
		return
	}
	now := time.Now()
	withheld := map[quarantine.Fingerprint]bool{}
	for i := range view.Suspects {
		suspect := &view.Suspects[i]
		if suspect.Withheld() {
			withheld[suspect.Fingerprint] = true
			g.see(suspect, now)
		}
		for _, replica := range suspect.Replicas {
			if _, known := g.ended[replica]; !known {
				g.ended[replica] = now
			}
		}
	}
	for fingerprint := range g.withheld {
		if !withheld[fingerprint] {
			delete(g.withheld, fingerprint)
		}
	}
	for replica := range g.ended {
		if !view.Replicas.Has(replica) {
			delete(g.ended, replica)
		}
	}
	g.endedCount.Store(int64(len(g.ended)))
}

// Ended notes that a replica closed the connection while it ran a request.
func (g *Guard) Ended(fingerprint quarantine.Fingerprint, replica string) {
	if g == nil {
		return
	}
	g.mutex.Lock()
	g.ended[replica] = time.Now()
	g.endedCount.Store(int64(len(g.ended)))
	g.mutex.Unlock()
	g.outbox.add(quarantine.Event{Kind: quarantine.EventCrashed, Fingerprint: fingerprint, Replica: replica})
}

// Served notes a whole answer to a request that is a suspect.
func (g *Guard) Served(fingerprint quarantine.Fingerprint) {
	if g != nil {
		g.outbox.add(quarantine.Event{Kind: quarantine.EventServed, Fingerprint: fingerprint})
	}
}

// Answered notes that a replica answered what was sent at a time. One that was taken to have
// ended before had not.
func (g *Guard) Answered(replica string, sent time.Time) {
	if g == nil || g.endedCount.Load() == 0 {
		return
	}
	g.mutex.Lock()
	at, blamed := g.ended[replica]
	alive := blamed && sent.After(at)
	if alive {
		delete(g.ended, replica)
		g.endedCount.Store(int64(len(g.ended)))
	}
	g.mutex.Unlock()
	if alive {
		g.outbox.add(quarantine.Event{Kind: quarantine.EventAlive, Replica: replica})
	}
}
