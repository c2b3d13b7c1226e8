package standin

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Engine stands in for a model engine: it drives the engine model in real
// time behind the HTTP interface that engines have.
type Engine struct {
	*server
	config EngineConfig
	client *http.Client
	wake   chan struct{}

	mutex    sync.Mutex
	model    *engine.Model
	origin   time.Time     // real time at model time 0
	frozen   time.Duration // real time spent hung
	streams  map[string]*stream
	exports  map[string]chan exported // by request id
	blobs    map[string]kvBlob        // by handle
	handles  []string                 // oldest first
	feed     *engine.Feed
	cacheEnd uint64 // events up to here are void: the cache was cleared
	loads    *engine.Lagged[port.LoadReport]
	epoch    context.Context // ends with the present incarnation
	endEpoch context.CancelFunc
	created  uint64 // ids made for requests without one
	fault    int    // of slow faults, to end only the newest
}

// EngineConfig describes an engine stand-in. All times of the model pass
// TimeScale times faster than real time.
type EngineConfig struct {
	Common
	Model engine.Config
	// TimeScale speeds the model up. Default 1.
	TimeScale float64
	// Lengths are the output lengths. Default median 120 tokens, sigma 0.8,
	// at most 2000.
	Lengths engine.Lengths
	// ChunkInterval is the real time between the chunks of a stream.
	// Default 20 ms.
	ChunkInterval time.Duration
	// LoadLag is how late load reports are, CacheLag how late cache events.
	LoadLag, CacheLag time.Duration
	// Adapters are loaded after a start, at the version of Model.Weights.
	Adapters []string
	// CacheGapEvery loses every n-th cache event; 0 loses none.
	CacheGapEvery uint64
}

const (
	keptCacheEvents = 20_000
	cacheEventsPage = 2000
	keptBlobs       = 256
	loadInterval    = 50 * time.Millisecond
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
	config.Model.Store = nil // weights are fetched from the order's source
	e := &Engine{
		config: config, client: &http.Client{}, wake: make(chan struct{}, 1),
		model: engine.New(config.Model), origin: time.Now(),
		streams: map[string]*stream{}, exports: map[string]chan exported{}, blobs: map[string]kvBlob{},
		feed: engine.NewFeed(config.CacheLag, config.CacheGapEvery, keptCacheEvents),
	}
	_, e.cacheEnd = e.model.CacheSnapshot()
	e.loads = engine.NewLagged[port.LoadReport](config.LoadLag)
	e.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultSlow, FaultRefuse, FaultCut,
		FaultLate, FaultMix, FaultLoadVersion, FaultSwapFails, FaultSwapMisdirected)
	e.inject = e.injectFault
	e.epoch, e.endEpoch = context.WithCancel(e.ctx)
	e.loads.Put(since()-config.LoadLag, e.loadReport())
	e.register()
	if err := e.open(config.Listen); err != nil {
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
		if !e.disturbed(w, r) {
			w.WriteHeader(http.StatusOK)
		}
	})
	e.mux.HandleFunc("GET "+api.PathMetrics, e.handleMetrics)
}

// now gives the model's time. The mutex must be held.
func (e *Engine) now() time.Duration {
	elapsed := time.Since(e.origin) - e.frozen
	return time.Duration(float64(elapsed) * e.config.TimeScale)
}

// drive advances the model until the stand-in is closed.
func (e *Engine) drive() {
	for e.ctx.Err() == nil {
		if e.stayHung() {
			continue
		}
		e.mutex.Lock()
		e.step()
		wait := e.untilNext()
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

// stayHung waits for the end of a hang and takes its time out of the model's.
func (e *Engine) stayHung() bool {
	if _, hung := e.faults.active(FaultHang); !hung {
		return false
	}
	began := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults.waitWhileHung(e.ctx)
	e.frozen += time.Since(began)
	return true
}

// untilNext returns the real time until the model must be advanced again. The
// mutex must be held.
func (e *Engine) untilNext() time.Duration {
	next, some := e.model.Next()
	if !some {
		return loadInterval
	}
	wait := time.Duration(float64(next-e.now()) / e.config.TimeScale)
	return max(min(wait, e.config.ChunkInterval), 0)
}

// step advances the model to the present and hands out what happened. The
// mutex must be held.
func (e *Engine) step() {
	now := e.now()
	for _, event := range e.model.Advance(now) {
		e.dispatch(event)
	}
	e.loads.Put(since(), e.loadReport())
}

// poke makes the driver look at the model at once.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// dispatch hands one event of the model to whom it concerns. The mutex must
// be held.
func (e *Engine) dispatch(event engine.Event) {
	switch event.Kind {
	case engine.EventTokens:
		if s := e.streams[event.ID]; s != nil {
			e.recorder.addTokens(s.seen, event.Version, event.Count)
			s.push(event)
		}
	case engine.EventFinished:
		if s := e.streams[event.ID]; s != nil {
			e.recorder.endGeneration(s.seen, audit.EndFinished)
			s.held = event.Completion.Reason == engine.FinishPrefilled
			s.push(event)
		}
	case engine.EventExported:
		e.finishExport(event)
	case engine.EventCache:
		if event.Cache.Kind == engine.CacheCleared {
			e.feed.Reset()
			e.cacheEnd = event.Cache.Sequence
			return
		}
		e.feed.Append(since(), event.Cache)
	}
}

// injectFault switches a fault on.
func (e *Engine) injectFault(fault Fault) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch fault.Kind {
	case FaultCrash:
		e.crash(fault.Duration(), e.loseAll, e.restart)
	case FaultSlow:
		e.slow(fault)
	case FaultSwapFails:
		e.model.FailNextSwap()
	case FaultSwapMisdirected:
		e.model.MisdirectNextSwap(engine.Weights{Version: port.WeightVersion(fault.Version)})
	default:
		return e.faults.set(fault)
	}
	return nil
}

func (e *Engine) slow(fault Fault) {
	e.fault++
	mine := e.fault
	e.model.SetSlowdown(e.now(), max(fault.Factor, 1))
	e.work.Go(func() {
		pause(e.ctx, fault.Duration())
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.fault == mine {
			e.model.SetSlowdown(e.now(), 1)
		}
	})
}

// loseAll crashes the model: every stream ends without an answer.
func (e *Engine) loseAll() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.model.Crash(e.now())
	e.endEpoch()
	for id, s := range e.streams {
		e.recorder.endGeneration(s.seen, audit.EndCrashed)
		s.abort()
		delete(e.streams, id)
	}
	clear(e.exports)
	clear(e.blobs)
	e.handles = nil
	e.feed.Reset()
}

func (e *Engine) restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.model.Restart(e.now())
	e.model.Advance(e.now())
	_, e.cacheEnd = e.model.CacheSnapshot()
	e.epoch, e.endEpoch = context.WithCancel(e.ctx)
	e.loads = engine.NewLagged[port.LoadReport](e.config.LoadLag)
	e.loads.Put(since()-e.config.LoadLag, e.loadReport())
}

// requestID returns the id of a request, made up if it came without one. The
// mutex must be held.
func (e *Engine) requestID(r *http.Request) string {
	if id := r.Header.Get(api.HeaderRequestID); id != "" {
		return id
	}
	e.created++
	return fmt.Sprintf("engine-%d", e.created)
}
