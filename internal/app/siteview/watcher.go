package siteview

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Times of the watch.
const (
	// HeartbeatInterval is how often a member sends an update without changes.
	HeartbeatInterval = 400 * time.Millisecond
	// silenceTimeout is how long a watcher waits for anything before it moves
	// on to another member.
	silenceTimeout = 1100 * time.Millisecond
	// retryPause keeps a watcher that finds no member from asking too often.
	retryPause = 100 * time.Millisecond
)

// View is what a process knows of the site. It is immutable.
type View struct {
	*sitestate.View
	// Table finds routes; nil while no configuration is known.
	Table *routing.Table
	// zones gives the region of each zone, as the settings have it.
	zones map[string]string
	// coldUntil is until when replicas are cold, by id.
	coldUntil map[string]time.Time
}

// Config sets a Watcher up.
type Config struct {
	// Seeds are addresses of control members to begin with.
	Seeds []string
	Wire  wire.Options
	// Decode reads the operator's document.
	Decode func(raw []byte) (*routing.Document, error)
	// Provisional takes a first view also from a member that is out of touch
	// with a quorum: after a loss of all power, callers are served before a
	// leader is elected. A confirmed view follows; what must never be out of
	// date waits for it by ConfirmedWithin.
	Provisional bool
	// Zones gives the region of each zone of the site.
	Zones map[string]string
	// Interest says which changes of replicas are followed.
	Interest sitestate.Interest
	// Changed is called after the view has changed. It must not wait.
	Changed func(*View)
	Logger  *log.Logger
	// Clock also counts suspended time; nil is that of the machine.
	Clock boottime.Clock
}

// Watcher keeps the view.
type Watcher struct {
	config    Config
	view      atomic.Pointer[View]
	confirmed atomic.Int64 // nanoseconds by config.Clock, 0 before

	pool  *wire.Pool
	mutex sync.Mutex
	seeds []string
	// current is the member that is watched.
	current string
}

// New makes a watcher; Run follows.
func New(config Config) *Watcher {
	config.Clock = config.Clock.OrSystem()
	return &Watcher{config: config, pool: wire.NewPool(config.Wire), seeds: config.Seeds}
}

// View gives the present view, or nil.
func (w *Watcher) View() *View { return w.view.Load() }

// State gives the control state of the present view, or nil.
func (w *Watcher) State() *sitestate.View {
	if view := w.view.Load(); view != nil {
		return view.View
	}
	return nil
}

// ConfirmedWithin reports whether a member in touch with a quorum confirmed the
// view within the time.
func (w *Watcher) ConfirmedWithin(age time.Duration) bool {
	at := w.confirmed.Load()
	return at > 0 && w.config.Clock()-time.Duration(at) < age
}

// SetSeeds replaces the addresses to begin with, after a change of settings.
func (w *Watcher) SetSeeds(seeds []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seeds = seeds
}

// Members gives addresses of control members, the one that is watched first.
func (w *Watcher) Members() []string {
	w.mutex.Lock()
	current, addresses := w.current, slices.Clone(w.seeds)
	w.mutex.Unlock()
	if view := w.view.Load(); view != nil {
		for _, member := range view.Members {
			addresses = append(addresses, member.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if current != "" {
		addresses = slices.Insert(addresses, 0, current)
	}
	unique := addresses[:0]
	for _, address := range addresses {
		if address != "" && !slices.Contains(unique, address) {
			unique = append(unique, address)
		}
	}
	return unique
}

// Call asks control members one after the other until one answers or the
// context ends. The call must be safe to repeat.
func (w *Watcher) Call(ctx context.Context, method string, request, response any) error {
	last := eris.New("no control member is known")
	for _, address := range w.Members() {
		attempt, cancel := context.WithTimeout(ctx, silenceTimeout)
		err := w.pool.Client(address).Call(attempt, method, request, response)
		cancel()
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range w.Members() {
			if err := w.watch(ctx, address); err != nil && ctx.Err() == nil {
				w.lost(address, err)
			}
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (w *Watcher) lost(address string, err error) {
	w.mutex.Lock()
	watched := w.current == address
	if watched {
		w.current = ""
	}
	w.mutex.Unlock()
	if watched {
		w.config.Logger.Warn().Str(eventlog.Field, eventlog.ControlLost).Str("member", address).Err(err).Msg("the watched control member was lost")
	}
}

// watch follows one member until it falls silent or is not confirmed.
func (w *Watcher) watch(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	request := WatchRequest{Interest: w.config.Interest}
	if view := w.view.Load(); view != nil {
		request.After = view.Position
	}
	stream, err := w.pool.Client(address).Stream(ctx, MethodWatch, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		var answer WatchAnswer
		if err := stream.Recv(&answer); err != nil {
			return err
		}
		updates, err := answer.updates()
		if err != nil {
			return err
		}
		if !answer.Update.Confirmed {
			w.takeProvisional(updates)
			return eris.New("the member is out of touch with a quorum")
		}
		silence.Reset(silenceTimeout)
		if err := w.take(address, updates); err != nil {
			return err
		}
	}
}

// takeProvisional takes a first view that is not confirmed.
func (w *Watcher) takeProvisional(updates []sitestate.Update) {
	if !w.config.Provisional || w.view.Load() != nil {
		return
	}
	next, err := w.next(nil, updates)
	if err != nil || next.Configuration.Version == 0 {
		return
	}
	w.config.Logger.Warn().Str(eventlog.Field, eventlog.ControlProvisional).Uint64("position", next.Position).
		Uint64("version", next.Configuration.Version).Msg("a view is taken that no quorum confirmed yet")
	w.view.Store(next)
	w.config.Changed(next)
}

// take applies updates and publishes the view if it has changed.
func (w *Watcher) take(address string, updates []sitestate.Update) error {
	previous, update := w.view.Load(), updates[len(updates)-1]
	if previous != nil && update.Position < previous.Position {
		return eris.New("the member is behind")
	}
	w.confirmed.Store(int64(w.config.Clock()))
	w.mutex.Lock()
	regained := w.current != address
	w.current = address
	w.mutex.Unlock()
	if regained {
		w.config.Logger.Info().Str(eventlog.Field, eventlog.ControlWatched).Str("member", address).Uint64("position", update.Position).Msg("a control member is watched")
	}
	if previous != nil && update.Position == previous.Position && len(update.Members) == 0 {
		return nil
	}
	next, err := w.next(previous, updates)
	if err != nil {
		return err
	}
	w.view.Store(next)
	w.config.Changed(next)
	return nil
}

func (w *Watcher) next(previous *View, updates []sitestate.Update) (*View, error) {
	var held *sitestate.View
	next := &View{zones: w.config.Zones}
	if previous != nil {
		held = previous.View
		*next = *previous
	}
	for _, update := range updates {
		held = held.Apply(update)
	}
	next.View = held
	next = next.WithCold(updates, time.Now())
	if next.Configuration.Version > 0 && (next.Table == nil || next.Table.Version() != next.Configuration.Version) {
		document, err := w.config.Decode(next.Configuration.Raw)
		if err != nil {
			return nil, eris.Wrap(err, "the configuration in force cannot be read")
		}
		next.Table = routing.NewTable(document)
		w.config.Logger.Info().Str(eventlog.Field, eventlog.ConfigurationInForce).Uint64("version", next.Table.Version()).
			Uint64("position", next.Position).Int("routes", len(document.Routes)).Msg("a configuration is in force here")
	}
	return next, nil
}
