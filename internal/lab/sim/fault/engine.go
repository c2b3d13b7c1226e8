package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing and limits of the engines.
const (
	loadLag             = 200 * time.Millisecond
	maxPollDelay        = 5 * time.Second
	cacheLag            = 500 * time.Millisecond
	cacheGapEvery       = 7
	maxCacheEvents      = 4096
	maxEventsPerPoll    = 512
	loadInterval        = 200 * time.Millisecond
	firstVersion        = 1
	weightBytes         = 64 << 20
	storeBytesPerSecond = 512 << 20
	engineMaxWaiting    = 256
	engineMaxSequences  = 8
)

// modelEngine is a process around the engine model.
type modelEngine struct {
	process
	world    *world
	id       port.ReplicaID
	address  string
	model    *engine.Model
	requests map[string]*engineRequest
	loads    *engine.Lagged[port.LoadReport]
	feed     *engine.Feed
	cacheEnd uint64
	wakes    uint64
	// Numbers of upcoming requests that a fault affects.
	mixNext, refuseNext, ignoreCancel int
	lateUntil                         time.Duration
	retired                           bool
}

// engineRequest is one request at the engine.
type engineRequest struct {
	id       string
	stream   *stream
	onChunk  func(engineChunk)
	record   *audit.Generation
	key      uint64
	position int
	mixed    bool
}

// engineChunk is a chunk of a response with the request id that it carries.
type engineChunk struct {
	ID    string
	Chunk port.GenerateChunk
}

func (w *world) newEngine(index int) *modelEngine {
	zone := w.zone(index)
	e := &modelEngine{
		process: process{name: fmt.Sprintf("engine-%d", index), zone: zone, up: true},
		world:   w, id: port.ReplicaID(fmt.Sprintf("lm-%d", index)), address: fmt.Sprintf("10.1.0.%d:8000", index),
		requests: make(map[string]*engineRequest),
		loads:    engine.NewLagged[port.LoadReport](loadLag),
		feed:     engine.NewFeed(cacheLag, cacheGapEvery, maxCacheEvents),
	}
	e.model = engine.New(engine.Config{
		StepBase: 10 * time.Millisecond, MaxSequences: engineMaxSequences, MaxWaiting: engineMaxWaiting,
		KVBlocks: 2048, CacheEvents: true, WeightBytes: weightBytes, Store: w.store,
		Weights: engine.Weights{Version: firstVersion},
	})
	w.queue.Every(loadInterval, time.Duration(index)*time.Millisecond, e.report)
	return e
}

// report publishes the current load with a lag.
func (e *modelEngine) report() {
	e.advance()
	e.loads.Put(e.world.queue.Now(), e.model.Load().Report())
}

// load returns the latest visible load report.
func (e *modelEngine) load() (port.LoadReport, bool) {
	now := e.world.queue.Now()
	report, visible := e.loads.Get(now)
	report.AgeMillis = loadLag.Milliseconds()
	return report, visible
}

func (e *modelEngine) cacheEvents(after uint64) (events []port.CacheEvent, gap bool) {
	first := max(e.feed.First(), e.cacheEnd+1)
	for _, change := range e.feed.After(e.world.queue.Now(), after, maxEventsPerPoll) {
		events = append(events, port.CacheEvent{
			Sequence: change.Sequence, Block: change.Hash, Evicted: change.Kind == engine.CacheRemoved,
		})
	}
	return events, first > after+1
}

// advance runs the model up to the current time.
func (e *modelEngine) advance() {
	for _, event := range e.model.Advance(e.world.queue.Now()) {
		e.handle(event)
	}
}

// scheduleWakeUp schedules a wake-up at the model's next event. Callers
// must call it after every call of the model.
func (e *modelEngine) scheduleWakeUp() {
	e.wakes++
	wake := e.wakes
	at, found := e.model.Next()
	if !found {
		return
	}
	e.world.after(at-e.world.queue.Now(), func() {
		if wake == e.wakes {
			e.advance()
			e.scheduleWakeUp()
		}
	})
}

func (e *modelEngine) handle(event engine.Event) {
	request := e.requests[event.ID]
	switch event.Kind {
	case engine.EventTokens:
		if request != nil {
			request.record.Spans = port.AppendTokens(request.record.Spans, event.Version, event.Count)
			e.send(request, port.GenerateChunk{
				Text:   engine.Text(request.key, request.position, event.Count, event.Version),
				Tokens: event.Count, Version: event.Version,
			})
			request.position += event.Count
		}
	case engine.EventFinished:
		if request != nil {
			e.end(request, audit.EndFinished)
			e.send(request, port.GenerateChunk{Finish: finishOf(event.Completion)})
		}
	case engine.EventCache:
		if event.Cache.Kind == engine.CacheCleared {
			e.feed.Reset()
			e.cacheEnd = event.Cache.Sequence
			return
		}
		e.feed.Append(e.world.queue.Now(), event.Cache)
	}
}

func finishOf(completion *engine.Completion) port.FinishReason {
	if completion.Reason == engine.FinishLength {
		return port.FinishLength
	}
	return port.FinishStop
}

// send streams a chunk to the client.
func (e *modelEngine) send(request *engineRequest, chunk port.GenerateChunk) {
	message := engineChunk{ID: request.id, Chunk: chunk}
	if request.mixed {
		message.ID = "mixed-" + request.id
		message.Chunk.Text = engine.Text(request.key+1, request.position, chunk.Tokens, chunk.Version)
	}
	request.stream.answer(chunk.Finish != "", func() { request.onChunk(message) })
}

// end records the end of a request.
func (e *modelEngine) end(request *engineRequest, how audit.End) {
	request.record.End = how
	request.record.EndedAt = e.world.queue.Now()
	delete(e.requests, request.id)
}

// generate serves a request. It calls refused instead if the request doesn't run.
func (e *modelEngine) generate(s *stream, request port.GenerateRequest, handle func(engineChunk), refused func(*port.Error)) {
	e.advance()
	defer e.scheduleWakeUp()
	key := engine.ContentKey(request.Prompt, request.Seed)
	if refusal := e.refusal(&request, key); refusal != nil {
		s.answer(true, func() { refused(refusal) })
		return
	}
	remaining := e.world.lengths.Of(key) - request.ResumeTokens
	limit := request.MaxTokens
	run := &engineRequest{id: string(request.ID), stream: s, onChunk: handle, key: key, position: request.ResumeTokens}
	run.record = &audit.Generation{
		Engine: e.address, RequestID: run.id, From: string(s.client.zone), Call: audit.PromptKey(request.Prompt), Key: key,
		FirstToken: request.ResumeTokens, TotalTokens: request.ResumeTokens + min(max(remaining, 0), limit),
		StartedAt: e.world.queue.Now(),
	}
	if remaining > 0 {
		err := e.model.Submit(e.world.queue.Now(), engine.Request{
			ID: run.id, Priority: int(request.Priority), PromptTokens: engine.CountTokens(request.Prompt),
			PromptBlocks: engine.HashBlocks(request.Prompt, e.model.Config().BlockTokens), ContentKey: key,
			ResumedTokens: request.ResumeTokens, OutputTokens: remaining, MaxTokens: limit,
		})
		if err != nil {
			s.answer(true, func() { refused(submitRefusal(err)) })
			return
		}
		e.requests[run.id] = run
	}
	e.world.observed.generations = append(e.world.observed.generations, run.record)
	if e.mixNext > 0 {
		e.mixNext--
		run.mixed = true
	}
	s.onDisconnect = func() { e.cancel(run) }
	if remaining <= 0 {
		// The resumed text was already complete.
		e.end(run, audit.EndFinished)
		e.send(run, port.GenerateChunk{Finish: port.FinishStop})
	}
}

// refusal returns the reason why a request can't run here, or nil.
func (e *modelEngine) refusal(request *port.GenerateRequest, key uint64) *port.Error {
	if e.refuseNext > 0 {
		e.refuseNext--
		return port.NewError(port.NotRun, port.CodeUnavailable, "the engine refuses")
	}
	report := e.model.Load().Report()
	if report.Version < request.MinVersion {
		return port.NewError(port.NotRun, port.CodeStale, "serves version %d, asked for %d or newer", report.Version, request.MinVersion)
	}
	if len(request.Resume) != request.ResumeTokens*engine.BytesPerToken || !engine.SameContent(request.Resume, key) {
		return port.InvalidField("resume_text", request.Resume, "the start of this request's own output")
	}
	return nil
}

func submitRefusal(err error) *port.Error {
	code := port.CodeConflict
	switch {
	case errors.Is(err, engine.ErrQueueFull):
		code = port.CodeQueueFull
	case errors.Is(err, engine.ErrDown):
		code = port.CodeUnavailable
	}
	return port.NewError(port.NotRun, code, "%v", err)
}

// cancel stops a request whose client disconnected. Under a fault the engine ignores
// the disconnect and the request continues.
func (e *modelEngine) cancel(run *engineRequest) {
	if e.requests[run.id] != run {
		return
	}
	if e.ignoreCancel > 0 {
		e.ignoreCancel--
		return
	}
	e.advance()
	defer e.scheduleWakeUp()
	if e.requests[run.id] == run {
		e.model.Cancel(e.world.queue.Now(), run.id)
		e.end(run, audit.EndCancelled)
	}
}

// order executes a fenced order.
func (e *modelEngine) order(body port.Order) (port.LoadReport, *port.Error) {
	order, refusal := engine.OrderFrom(body)
	if refusal != nil {
		return port.LoadReport{}, refusal
	}
	e.advance()
	defer e.scheduleWakeUp()
	if err := e.model.Order(e.world.queue.Now(), order); err != nil {
		return port.LoadReport{}, port.NewError(port.NotRun, orderCode(err), "%v", err)
	}
	return e.model.Load().Report(), nil
}

// orderCode maps an order's error to its code.
func orderCode(err error) port.Code {
	if errors.Is(err, engine.ErrStaleFence) {
		return port.CodeFenced
	}
	return port.CodeConflict
}

// crash aborts all requests and restarts the engine after downtime.
func (e *modelEngine) crash(downtime time.Duration) {
	if !e.up {
		return
	}
	e.advance()
	for _, id := range e.model.Crash(e.world.queue.Now()) {
		if run := e.requests[id]; run != nil {
			e.end(run, audit.EndCrashed)
		}
	}
	e.feed.Reset()
	e.world.kill(&e.process)
	e.world.after(downtime, e.restart)
}

func (e *modelEngine) restart() {
	if e.retired {
		return
	}
	e.up = true
	e.model.Restart(e.world.queue.Now())
	_, e.cacheEnd = e.model.CacheSnapshot()
	e.scheduleWakeUp()
}

func (e *modelEngine) idle() bool { return len(e.requests) == 0 }

// isMixed reports whether a chunk belongs to another request.
func isMixed(message engineChunk, id port.RequestID) bool { return message.ID != string(id) }
