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

// Timings of the watch.
const (
	// HeartbeatInterval is the period of updates without changes.
	HeartbeatInterval = 400 * time.Millisecond
	// watchTimeout is how long a watcher waits for an update before it switches to another
	// member.
	watchTimeout = 1100 * time.Millisecond
	// retryPause is the delay after all members failed.
	retryPause = 100 * time.Millisecond
	// maxCurrentAge is the age of its last confirmation up to which a view is current.
	maxCurrentAge = 1500 * time.Millisecond
)

// View is a process's view of the site. It is immutable.
type View struct {
	*sitestate.View
	// Table finds routes; nil before the first configuration.
	Table *routing.Table
	// zones maps zones to regions, as configured.
	zones map[string]string
	// coldUntil has the ends of the replicas' cold periods, by id.
	coldUntil map[string]time.Time
}

// Config configures a Watcher.
type Config struct {
	// Seeds are the initial addresses of control members.
	Seeds []string
	Wire  wire.Options
	// Decode decodes the operator's configuration.
	Decode func(raw []byte) (*routing.Document, error)
	// Provisional accepts a first view also from a member without contact with a quorum, so
	// that callers are served before a leader is elected after a power failure.
	// ConfirmedWithin is false for it.
	Provisional bool
	// Zones maps each zone of the site to its region.
	Zones map[string]string
	// Interest selects the changes of replicas to receive.
	Interest sitestate.Interest
	// Changed is called after the view has changed. It must not block.
	Changed func(*View)
	Logger  *log.Logger
	// Clock is a monotonic clock that includes suspension; nil selects the system's.
	Clock boottime.Clock
}

// Watcher maintains the view.
type Watcher struct {
	config    Config
	view      atomic.Pointer[View]
	confirmed atomic.Int64 // nanoseconds of config.Clock, 0 if never

	pool  *wire.Pool
	mutex sync.Mutex
	seeds []string
	// current is the watched member.
	current string
}

// New returns a watcher; call Run.
func New(config Config) *Watcher {
	config.Clock = config.Clock.OrSystem()
	return &Watcher{config: config, pool: wire.NewPool(config.Wire), seeds: config.Seeds}
}

// View returns the current view, or nil.
func (w *Watcher) View() *View { return w.view.Load() }

// State returns the control state of the current view, or nil.
func (w *Watcher) State() *sitestate.View {
	if view := w.view.Load(); view != nil {
		return view.View
	}
	return nil
}

// ConfirmedWithin reports whether a member in contact with a quorum confirmed the view within
// age.
func (w *Watcher) ConfirmedWithin(age time.Duration) bool {
	at := w.confirmed.Load()
	return at > 0 && w.config.Clock()-time.Duration(at) < age
}

// IsConfirmed reports whether a member in contact with a quorum confirmed the view recently.
func (w *Watcher) IsConfirmed() bool { return w.ConfirmedWithin(maxCurrentAge) }

// IsCurrent reports whether final decisions may rest on a table, such as that a route or a key does not
// exist: it is the table of the view, and the view is confirmed.
func (w *Watcher) IsCurrent(table *routing.Table) bool {
	if table == nil || !w.IsConfirmed() { // in this order: a new view is published before it is confirmed
		return false
	}
	view := w.view.Load()
	return view != nil && view.Table == table
}

// SetSeeds replaces the initial addresses after a change of settings.
func (w *Watcher) SetSeeds(seeds []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seeds = seeds
}

// Members returns the addresses of control members, the watched one first.
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

// Call calls control members in turn until one responds or ctx ends. The call must be
// idempotent.
func (w *Watcher) Call(ctx context.Context, method string, request, response any) error {
	last := eris.New("no control member is known")
	for _, address := range w.Members() {
		attempt, cancel := context.WithTimeout(ctx, watchTimeout)
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

// Run watches control members until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range w.Members() {
			if err := w.watch(ctx, address); err != nil && ctx.Err() == nil {
				w.handleLost(address, err)
			}
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (w *Watcher) handleLost(address string, err error) {
	w.mutex.Lock()
	wasCurrent := w.current == address
	if wasCurrent {
		w.current = ""
	}
	w.mutex.Unlock()
	if wasCurrent {
		w.config.Logger.Warn().Str(eventlog.Field, eventlog.ControlLost).Str("member", address).Err(err).Msg("lost the watched control member")
	}
}

// watch watches one member until it times out or loses contact with a quorum.
func (w *Watcher) watch(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(watchTimeout, cancel)
	defer timer.Stop()
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
			w.applyProvisional(updates)
			return eris.New("the member has no contact with a quorum")
		}
		timer.Reset(watchTimeout)
		if err := w.apply(address, updates); err != nil {
			return err
		}
	}
}

// applyProvisional publishes a first view that is not confirmed.
func (w *Watcher) applyProvisional(updates []sitestate.Update) {
	if !w.config.Provisional || w.view.Load() != nil {
		return
	}
	next, err := w.next(nil, updates)
	if err != nil || next.Configuration.Version == 0 {
		return
	}
	w.config.Logger.Warn().Str(eventlog.Field, eventlog.ControlProvisional).Uint64("position", next.Position).
		Uint64("version", next.Configuration.Version).Msg("using a view that no quorum has confirmed")
	w.view.Store(next)
	w.config.Changed(next)
}

// apply applies updates and publishes the view if it has changed.
func (w *Watcher) apply(address string, updates []sitestate.Update) error {
	previous, update := w.view.Load(), updates[len(updates)-1]
	if previous != nil && update.Position < previous.Position {
		return eris.New("the member's state is older than the view")
	}
	receivedAt := int64(w.config.Clock())
	w.mutex.Lock()
	switched := w.current != address
	w.current = address
	w.mutex.Unlock()
	if switched {
		w.config.Logger.Info().Str(eventlog.Field, eventlog.ControlWatched).Str("member", address).Uint64("position", update.Position).Msg("watching a control member")
	}
	if previous != nil && update.Position == previous.Position && len(update.Members) == 0 {
		w.confirmed.Store(receivedAt)
		return nil
	}
	next, err := w.next(previous, updates)
	if err != nil {
		return err
	}
	w.view.Store(next)
	w.confirmed.Store(receivedAt) // not before: the decoding of a configuration takes time
	w.config.Changed(next)
	return nil
}

func (w *Watcher) next(previous *View, updates []sitestate.Update) (*View, error) {
	var state *sitestate.View
	next := &View{zones: w.config.Zones}
	if previous != nil {
		state = previous.View
		*next = *previous
	}
	for _, update := range updates {
		state = state.Apply(update)
	}
	next.View = state
	next = next.WithCold(updates, time.Now())
	if next.Configuration.Version > 0 && (next.Table == nil || next.Table.Version() != next.Configuration.Version) {
		document, err := w.config.Decode(next.Configuration.Raw)
		if err != nil {
			return nil, eris.Wrap(err, "cannot decode the current configuration")
		}
		next.Table = routing.NewTable(document)
		w.config.Logger.Info().Str(eventlog.Field, eventlog.ConfigurationChanged).Uint64("version", next.Table.Version()).
			Uint64("position", next.Position).Int("routes", len(document.Routes)).Msg("using a new configuration")
	}
	return next, nil
}
