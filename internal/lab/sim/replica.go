package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// queueLength bounds the requests that wait at one node or engine.
const queueLength = 4096

// replica is one engine with what runs on it.
type replica struct {
	world *world
	id    port.ReplicaID
	zone  port.ZoneName
	model *engine.Model
	// attempts are those at the engine, in order of arrival.
	attempts []*attempt
	byName   map[string]*attempt
	// wakes numbers the wake-up that counts; earlier ones are void.
	wakes  uint64
	wakeAt time.Duration
	awake  bool

	loads *engine.Lagged[port.LoadReport]
	feed  *engine.Feed
	// report is the last load report that the home took, made at reportedAt.
	report     port.LoadReport
	reportedAt time.Time
	// cacheEnd is the last cache event that a clearing of the cache made void.
	cacheEnd uint64
	// tokens counts what the engine said that it generated.
	tokens uint64
}

// buildReplicas makes the engines, spread over the zones in turn.
func (w *world) buildReplicas() {
	for index := range w.site.Engines {
		made := &replica{
			world: w, id: port.ReplicaID(fmt.Sprintf("%s-%d", w.site.EnginePool, index+1)),
			zone: w.zoneOf(index), byName: make(map[string]*attempt),
			loads: engine.NewLagged[port.LoadReport](loadLag),
			feed:  engine.NewFeed(cacheLag, 0, w.site.Engine.KVBlocks+keptCacheEvents),
		}
		made.model = engine.New(w.engineConfig())
		w.replicas = append(w.replicas, made)
		w.byID[made.id] = made
		offset := time.Duration(index) * loadInterval / time.Duration(w.site.Engines)
		w.every(loadInterval, offset, made.poll)
		w.every(progressInterval, 5*offset, made.tellProgress)
	}
}

// keptCacheEvents is the number of cache events that an engine keeps.
const keptCacheEvents = 20_000

// engineConfig is the site's engine with the first weights.
func (w *world) engineConfig() engine.Config {
	config := w.site.Engine
	config.Store = w.store
	config.WeightBytes = int64(w.site.WeightBytes)
	config.MaxWaiting = queueLength
	config.CacheEvents = w.options.Variant.with(PartPrefixAffinity)
	config.Weights = engine.Weights{Version: firstVersion}
	config.Adapters = make(map[string]port.WeightVersion)
	for index := range w.site.Trainers {
		if adapter := w.site.Trainers[index].Adapter; adapter != "" {
			config.Adapters[adapter] = firstVersion
		}
	}
	return config
}

// advance lets the engine come to the present and hands on what it did.
func (r *replica) advance() {
	for _, event := range r.model.Advance(r.world.now) {
		r.take(event)
	}
}

// touch has to follow every call of the engine: it wakes the run up when the
// engine does something next.
func (r *replica) touch() {
	at, found := r.model.Next()
	at = max(at, r.world.now)
	if r.awake && found && at == r.wakeAt {
		return
	}
	r.wakes++
	r.awake, r.wakeAt = found, at
	if !found {
		return
	}
	wake := r.wakes
	r.world.queue.push(at, func() {
		if wake == r.wakes {
			r.awake = false
			r.advance()
			r.touch()
		}
	})
}

// take handles one event of the engine.
func (r *replica) take(event engine.Event) {
	switch event.Kind {
	case engine.EventTokens:
		r.tokens += uint64(event.Count)
		if found := r.byName[event.ID]; found != nil {
			found.tokens += event.Count
			found.spans = port.AppendTokens(found.spans, event.Version, event.Count)
		}
	case engine.EventFinished:
		if found := r.byName[event.ID]; found != nil {
			r.drop(found)
			found.finished(event.Completion)
		}
	case engine.EventExported:
		r.world.exported(event)
	case engine.EventCache:
		r.noteCache(event.Cache)
	}
}

func (r *replica) noteCache(change engine.CacheEvent) {
	if change.Kind == engine.CacheCleared {
		r.feed.Reset()
		r.cacheEnd = change.Sequence
		return
	}
	r.feed.Append(r.world.now, change)
}

// drop forgets an attempt that ended.
func (r *replica) drop(ended *attempt) {
	delete(r.byName, ended.name)
	index := slices.Index(r.attempts, ended)
	r.attempts = slices.Delete(r.attempts, index, index+1)
}

// submit hands an attempt to the engine. An error means that it did not run.
func (r *replica) submit(begun *attempt) error {
	if err := r.checkVersion(begun); err != nil {
		return err
	}
	if err := r.model.Submit(r.world.now, begun.request()); err != nil {
		return err
	}
	r.attempts = append(r.attempts, begun)
	r.byName[begun.name] = begun
	r.touch()
	return nil
}

// checkVersion refuses a request that wants newer weights than are served.
func (r *replica) checkVersion(begun *attempt) error {
	report := r.model.Load().Report()
	served, _ := report.Versions(begun.pool.settings.Adapter)
	if served < begun.start.MinVersion {
		return port.NewError(port.NotRun, port.CodeStale, "serves version %d, asked for %d or newer", served, begun.start.MinVersion)
	}
	return nil
}

// cancel takes an attempt off the engine; false means that it has ended.
func (r *replica) cancel(running *attempt) bool {
	r.advance()
	defer r.touch()
	if r.byName[running.name] != running {
		return false
	}
	r.model.Cancel(r.world.now, running.name)
	r.drop(running)
	return true
}

// order gives a fenced order and answers with the engine's report.
func (r *replica) order(body port.Order) (port.LoadReport, *port.Error) {
	order, refusal := engine.OrderFrom(body)
	if refusal != nil {
		return port.LoadReport{}, refusal
	}
	r.advance()
	defer r.touch()
	if err := r.model.Order(r.world.now, order); err != nil {
		return port.LoadReport{}, port.NewError(port.NotRun, port.CodeConflict, "%v", err)
	}
	return r.model.Load().Report(), nil
}

// poll is the home's poll of the engine's lagging load and cache events.
func (r *replica) poll() {
	r.advance()
	r.touch()
	r.loads.Put(r.world.now, r.model.Load().Report())
	report, visible := r.loads.Get(r.world.now)
	if !visible {
		return
	}
	report.AgeMillis = loadLag.Milliseconds()
	r.report = report
	r.reportedAt = r.world.clock().Add(-loadLag)
	r.world.router.polled(r)
}

// cacheEvents gives the visible cache events after a number, and whether some
// are missing.
func (r *replica) cacheEvents(after uint64) (events []port.CacheEvent, gap bool) {
	first := max(r.feed.First(), r.cacheEnd+1)
	for _, change := range r.feed.After(r.world.now, after, cacheEventsPage) {
		events = append(events, port.CacheEvent{
			Sequence: change.Sequence, Block: change.Hash, Evicted: change.Kind == engine.CacheRemoved,
		})
	}
	return events, first > after+1
}

// cacheEventsPage bounds the cache events of one answer.
const cacheEventsPage = 2000

// tellProgress lets the coordinators hear of what runs here.
func (r *replica) tellProgress() {
	r.advance()
	r.touch()
	for _, running := range r.attempts {
		running.tellProgress()
	}
}
