package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// queueLength is the maximum number of requests that wait at a node or engine.
const queueLength = 4096

// replica is an engine with its attempts.
type replica struct {
	world *world
	id    port.ReplicaID
	zone  port.ZoneName
	model *engine.Model
	// attempts lists the attempts at the engine in order of arrival.
	attempts []*attempt
	byName   map[string]*attempt
	// wakeUps numbers the scheduled wake-ups; only the last one is valid.
	wakeUps       uint64
	wakeAt        time.Duration
	wakeUpPending bool

	loads *engine.Lagged[port.LoadReport]
	feed  *engine.Feed
	// report is the last load report that the home received, created at reportedAt.
	report     port.LoadReport
	reportedAt time.Time
	// cacheEnd is the sequence number of the last clearing of the cache.
	cacheEnd uint64
	// tokens counts the tokens in the engine's events.
	tokens uint64
}

// buildReplicas creates the engines, spread over the zones.
func (w *world) buildReplicas() {
	for index := range w.site.Engines {
		r := &replica{
			world: w, id: port.ReplicaID(fmt.Sprintf("%s-%d", w.site.EnginePool, index+1)),
			zone: w.zoneOf(index), byName: make(map[string]*attempt),
			loads: engine.NewLagged[port.LoadReport](loadLag),
			feed:  engine.NewFeed(cacheLag, 0, w.site.Engine.KVBlocks+maxCacheEvents),
		}
		r.model = engine.New(w.engineConfig())
		w.replicas = append(w.replicas, r)
		w.byID[r.id] = r
		offset := time.Duration(index) * loadInterval / time.Duration(w.site.Engines)
		w.every(loadInterval, offset, r.poll)
		w.every(progressInterval, 5*offset, r.reportProgress)
	}
}

// maxCacheEvents is the number of cache events stored in addition to one per block.
const maxCacheEvents = 20_000

// engineConfig returns the site's engine configuration with the first weights.
func (w *world) engineConfig() engine.Config {
	config := w.site.Engine
	config.Store = w.store
	config.WeightBytes = int64(w.site.WeightBytes)
	config.MaxWaiting = queueLength
	config.CacheEvents = w.options.Variant.enabled(PartPrefixAffinity)
	config.Weights = engine.Weights{Version: firstVersion}
	config.Adapters = make(map[string]port.WeightVersion)
	for index := range w.site.Trainers {
		if adapter := w.site.Trainers[index].Adapter; adapter != "" {
			config.Adapters[adapter] = firstVersion
		}
	}
	return config
}

// advance runs the engine up to the current time and handles its events.
func (r *replica) advance() {
	for _, event := range r.model.Advance(r.world.now) {
		r.handle(event)
	}
}

// scheduleWakeUp schedules a wake-up at the engine's next event. Callers
// must call it after every call of the engine.
func (r *replica) scheduleWakeUp() {
	at, found := r.model.Next()
	at = max(at, r.world.now)
	if r.wakeUpPending && found && at == r.wakeAt {
		return
	}
	r.wakeUps++
	r.wakeUpPending, r.wakeAt = found, at
	if !found {
		return
	}
	wake := r.wakeUps
	r.world.queue.push(at, func() {
		if wake == r.wakeUps {
			r.wakeUpPending = false
			r.advance()
			r.scheduleWakeUp()
		}
	})
}

// handle handles an event of the engine.
func (r *replica) handle(event engine.Event) {
	switch event.Kind {
	case engine.EventTokens:
		r.tokens += uint64(event.Count)
		if found := r.byName[event.ID]; found != nil {
			found.tokens += event.Count
			found.spans = port.AppendTokens(found.spans, event.Version, event.Count)
		}
	case engine.EventFinished:
		if found := r.byName[event.ID]; found != nil {
			r.remove(found)
			found.finished(event.Completion)
		}
	case engine.EventExported:
		r.world.exported(event)
	case engine.EventCache:
		r.handleCacheEvent(event.Cache)
	}
}

func (r *replica) handleCacheEvent(change engine.CacheEvent) {
	if change.Kind == engine.CacheCleared {
		r.feed.Reset()
		r.cacheEnd = change.Sequence
		return
	}
	r.feed.Append(r.world.now, change)
}

// remove removes an attempt that ended.
func (r *replica) remove(ended *attempt) {
	delete(r.byName, ended.name)
	index := slices.Index(r.attempts, ended)
	r.attempts = slices.Delete(r.attempts, index, index+1)
}

// submit submits an attempt to the engine. An error means that it did not run.
func (r *replica) submit(a *attempt) error {
	if err := r.checkVersion(a); err != nil {
		return err
	}
	if err := r.model.Submit(r.world.now, a.request()); err != nil {
		return err
	}
	r.attempts = append(r.attempts, a)
	r.byName[a.name] = a
	r.scheduleWakeUp()
	return nil
}

// checkVersion rejects a request for newer weights than are served.
func (r *replica) checkVersion(a *attempt) error {
	report := r.model.Load().Report()
	served, _ := report.Versions(a.pool.settings.Adapter)
	if served < a.start.MinVersion {
		return port.NewError(port.NotRun, port.CodeStale, "serves version %d, asked for %d or newer", served, a.start.MinVersion)
	}
	return nil
}

// cancel cancels an attempt at the engine; false means that it has ended.
func (r *replica) cancel(running *attempt) bool {
	r.advance()
	defer r.scheduleWakeUp()
	if r.byName[running.name] != running {
		return false
	}
	r.model.Cancel(r.world.now, running.name)
	r.remove(running)
	return true
}

// order executes a fenced order and returns the engine's report.
func (r *replica) order(body port.Order) (port.LoadReport, *port.Error) {
	order, refusal := engine.OrderFrom(body)
	if refusal != nil {
		return port.LoadReport{}, refusal
	}
	r.advance()
	defer r.scheduleWakeUp()
	if err := r.model.Order(r.world.now, order); err != nil {
		return port.LoadReport{}, port.NewError(port.NotRun, port.CodeConflict, "%v", err)
	}
	return r.model.Load().Report(), nil
}

// poll simulates the home's poll of the engine's load and cache events, which lag.
func (r *replica) poll() {
	r.advance()
	r.scheduleWakeUp()
	r.loads.Put(r.world.now, r.model.Load().Report())
	report, visible := r.loads.Get(r.world.now)
	if !visible {
		return
	}
	report.AgeMillis = loadLag.Milliseconds()
	r.report = report
	r.reportedAt = r.world.clock().Add(-loadLag)
	r.world.router.reportUpdated(r)
}

// cacheEvents returns the visible cache events after a sequence number, and whether
// some are missing.
func (r *replica) cacheEvents(after uint64) (events []port.CacheEvent, gap bool) {
	first := max(r.feed.First(), r.cacheEnd+1)
	for _, change := range r.feed.After(r.world.now, after, maxEventsPerPoll) {
		events = append(events, port.CacheEvent{
			Sequence: change.Sequence, Block: change.Hash, Evicted: change.Kind == engine.CacheRemoved,
		})
	}
	return events, first > after+1
}

// maxEventsPerPoll is the maximum number of cache events in one poll.
const maxEventsPerPoll = 2000

// reportProgress reports the progress of all attempts to their coordinators.
func (r *replica) reportProgress() {
	r.advance()
	r.scheduleWakeUp()
	for _, running := range r.attempts {
		running.reportProgress()
	}
}
