package standin

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Engine simulates a model engine: it runs the engine model in real time behind the
// HTTP API of engines.
type Engine struct {
	*server
	config EngineConfig
	client *http.Client
	wake   chan struct{}

	mutex          sync.Mutex
	model          *engine.Model
	origin         time.Time     // real time at model time 0
	hungTime       time.Duration // real time spent hung
	streams        map[string]*stream
	exports        map[string]chan exportResult // by request id
	blobs          map[string]kvBlob            // by handle
	handles        []string                     // oldest first
	cacheFeed      *engine.Feed
	clearedThrough uint64 // sequence number of the last clearing of the cache
	loadReports    *engine.Lagged[port.LoadReport]
	incarnation    context.Context // cancelled by a crash
	endIncarnation context.CancelFunc
	lastID         uint64 // last number in generated ids of requests and KV handles
	lastSlowdown   int    // number of the newest slowdown; older ones must not end it
}

// EngineConfig describes an engine stand-in. Model time runs TimeScale times faster than
// real time.
type EngineConfig struct {
	Common
	Model engine.Config
	// TimeScale is the speed of model time. Default 1.
	TimeScale float64
	// Lengths is the distribution of output lengths. Default median 120 tokens, sigma
	// 0.8, at most 2000.
	Lengths engine.Lengths
	// ChunkInterval is the real time between the chunks of a stream. Default 20 ms.
	ChunkInterval time.Duration
	// LoadLag is the delay of load reports, CacheLag that of cache events.
	LoadLag, CacheLag time.Duration
	// Adapters lists the adapters loaded at start, at the version of Model.Weights.
	Adapters []string
	// CacheGapEvery drops every n-th cache event; 0 drops none.
	CacheGapEvery uint64
}

const (
	maxCacheEvents      = 20_000
	cacheEventsPageSize = 2000
	maxBlobs            = 256
	loadReportInterval  = 50 * time.Millisecond
)

// StartEngine starts an engine. It runs until ctx ends or Close is called.
func StartEngine(ctx context.Context, config EngineConfig) (*Engine, error) {
	config.TimeScale = cmp.Or(config.TimeScale, 1)
	config.Lengths = cmp.Or(config.Lengths, engine.Lengths{Median: 120, Sigma: 0.8, Max: 2000})
	config.ChunkInterval = cmp.Or(config.ChunkInterval, 20*time.Millisecond)
	config.Model.Weights.Version = cmp.Or(config.Model.Weights.Version, 1)
	config.Model.CacheEvents = true
	config.Model.Adapters = map[string]port.WeightVersion{}
	for _, name := range config.Adapters {
		config.Model.Adapters[name] = config.Model.Weights.Version
	}
	config.Model.Store = nil // weights are downloaded from the source in the order
	e := &Engine{
		config: config, client: httpcall.CheckedClient(&http.Transport{DisableKeepAlives: true}, 0), wake: make(chan struct{}, 1),
		model: engine.New(config.Model), origin: time.Now(),
		streams: map[string]*stream{}, exports: map[string]chan exportResult{}, blobs: map[string]kvBlob{},
		cacheFeed: engine.NewFeed(config.CacheLag, config.CacheGapEvery, maxCacheEvents),
	}
	_, e.clearedThrough = e.model.CacheSnapshot()
	e.loadReports = engine.NewLagged[port.LoadReport](config.LoadLag)
	e.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultSlow, FaultRefuse, FaultCut,
		FaultLate, FaultMix, FaultLoadVersion, FaultSwapFails, FaultSwapMisdirected)
	e.inject = e.injectFault
	e.incarnation, e.endIncarnation = context.WithCancel(e.ctx)
	e.loadReports.Put(unixNow()-config.LoadLag, e.loadReport())
	e.register()
	if err := e.listen(config.Listen); err != nil {
		return nil, err
	}
	e.work.Go(e.drive)
	return e, nil
}

func (e *Engine) register() {
	e.mux.HandleFunc("POST "+api.PathCompletions, e.handleCompletion)
	e.mux.HandleFunc("DELETE "+api.PathEngineRequest, e.handleCancel)
	e.mux.HandleFunc("POST "+api.PathEngineOrders, e.handleOrder)
	e.mux.HandleFunc("GET "+api.PathEngineLoad, e.handleLoad)
	e.mux.HandleFunc("GET "+api.PathCacheEvents, e.handleCacheEvents)
	e.mux.HandleFunc("POST "+api.PathKVExport, e.handleExport)
	e.mux.HandleFunc("GET "+api.PathKVBlob, e.handleBlob)
	e.mux.HandleFunc("GET "+api.PathHealth, func(w http.ResponseWriter, r *http.Request) {
		if !e.applyFaults(w, r) {
			w.WriteHeader(http.StatusOK)
		}
	})
	e.mux.HandleFunc("GET "+api.PathMetrics, e.handleMetrics)
}

// now returns the model time. The mutex must be held.
func (e *Engine) now() time.Duration {
	elapsed := time.Since(e.origin) - e.hungTime
	return time.Duration(float64(elapsed) * e.config.TimeScale)
}

// drive advances the model until the stand-in is closed.
func (e *Engine) drive() {
	for e.ctx.Err() == nil {
		if e.waitHung() {
			continue
		}
		e.mutex.Lock()
		e.advance()
		wait := e.nextStepDelay()
		e.mutex.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.ctx.Done():
		}
		timer.Stop()
	}
}

// waitHung waits until a hang is over and excludes its duration from model time. It
// reports whether there was one.
func (e *Engine) waitHung() bool {
	if _, hung := e.faults.active(FaultHang); !hung {
		return false
	}
	start := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults.waitOutHang(e.ctx)
	e.hungTime += time.Since(start)
	return true
}

// nextStepDelay returns the real time until the model must be advanced. The mutex must
// be held.
func (e *Engine) nextStepDelay() time.Duration {
	next, found := e.model.Next()
	if !found {
		return loadReportInterval
	}
	wait := time.Duration(float64(next-e.now()) / e.config.TimeScale)
	return max(min(wait, e.config.ChunkInterval), 0)
}

// advance advances the model to the current time and dispatches its events. The mutex
// must be held.
func (e *Engine) advance() {
	now := e.now()
	for _, event := range e.model.Advance(now) {
		e.dispatch(event)
	}
	e.loadReports.Put(unixNow(), e.loadReport())
}

// wakeDriver makes the driver advance the model immediately.
func (e *Engine) wakeDriver() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// dispatch delivers one event of the model to its stream, export or feed. The mutex must
// be held.
func (e *Engine) dispatch(event engine.Event) {
	switch event.Kind {
	case engine.EventTokens:
		if s := e.streams[event.ID]; s != nil {
			e.recorder.addTokens(s.generation, event.Version, event.Count)
			s.push(event)
		}
	case engine.EventFinished:
		if s := e.streams[event.ID]; s != nil {
			e.recorder.endGeneration(s.generation, audit.EndFinished)
			s.awaitingExport = event.Completion.Reason == engine.FinishPrefilled
			s.push(event)
		}
	case engine.EventExported:
		e.finishExport(event)
	case engine.EventCache:
		if event.Cache.Kind == engine.CacheCleared {
			e.cacheFeed.Reset()
			e.clearedThrough = event.Cache.Sequence
			return
		}
		e.cacheFeed.Append(unixNow(), event.Cache)
	}
}

// injectFault activates a fault.
func (e *Engine) injectFault(fault Fault) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch fault.Kind {
	case FaultCrash:
		e.crash(fault.Duration(), e.crashModel, e.restart)
	case FaultSlow:
		e.startSlowdown(fault)
	case FaultSwapFails:
		e.model.FailNextSwap()
	case FaultSwapMisdirected:
		e.model.MisdirectNextSwap(engine.Weights{Version: port.WeightVersion(fault.Version)})
	default:
		return e.faults.set(fault)
	}
	return nil
}

func (e *Engine) startSlowdown(fault Fault) {
	e.lastSlowdown++
	number := e.lastSlowdown
	e.model.SetSlowdown(e.now(), max(fault.Factor, 1))
	e.work.Go(func() {
		sleep(e.ctx, fault.Duration())
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.lastSlowdown == number {
			e.model.SetSlowdown(e.now(), 1)
		}
	})
}

// crashModel crashes the model and aborts all streams.
func (e *Engine) crashModel() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.model.Crash(e.now())
	e.endIncarnation()
	for id, s := range e.streams {
		e.recorder.endGeneration(s.generation, audit.EndCrashed)
		s.abort()
		delete(e.streams, id)
	}
	clear(e.exports)
	clear(e.blobs)
	e.handles = nil
	e.cacheFeed.Reset()
}

func (e *Engine) restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.model.Restart(e.now())
	e.model.Advance(e.now())
	_, e.clearedThrough = e.model.CacheSnapshot()
	e.incarnation, e.endIncarnation = context.WithCancel(e.ctx)
	e.loadReports = engine.NewLagged[port.LoadReport](e.config.LoadLag)
	e.loadReports.Put(unixNow()-e.config.LoadLag, e.loadReport())
}

// requestID returns the id of a request, or a new one if it has none. The mutex must be
// held.
func (e *Engine) requestID(r *http.Request) string {
	if id := r.Header.Get(api.HeaderRequestID); id != "" {
		return id
	}
	e.lastID++
	return fmt.Sprintf("engine-%d", e.lastID)
}
