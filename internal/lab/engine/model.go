package engine

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// run is a series of equal steps over an unchanged batch.
type run struct {
	active    bool
	start     time.Duration
	step      time.Duration // length of one step
	steps     int
	completed int // steps whose tokens have been generated
	batch     []*sequence
}

func (r *run) end() time.Duration { return r.start + time.Duration(r.steps)*r.step }

// Model is one engine. It is not safe for concurrent use.
type Model struct {
	config      Config
	clock       time.Duration
	up          bool
	incarnation uint64
	arrivals    uint64

	memory    *memory
	sequences map[string]*sequence
	waiting   waitingQueue
	running   []*sequence
	run       run
	dirty     bool // something changed since the last plan
	slowdown  float64
	kvLink    *Store

	weights       Weights
	staged        []Weights // oldest first
	staging       []Weights
	adapters      map[string]port.WeightVersion
	role          Role
	fence         uint64
	pending       []Weights // activations that wait for the end of the current step
	pausedUntil   time.Duration
	swapping      bool
	swapTarget    Weights
	swapFault     swapFault
	misdirectedTo Weights
	timers        []timer
	cacheCounter  uint64

	events []Event
	spare  []Event
	totals Totals
}

// Totals are the counters of an engine since New; restarts don't reset them.
type Totals struct {
	Steps         uint64
	Generated     uint64 // tokens
	Prefilled     uint64 // tokens computed, recomputation included
	CacheHits     uint64 // tokens found in the prefix cache
	Preemptions   uint64
	Finished      uint64 // sequences
	LostInCrashes uint64 // sequences
	Busy          time.Duration
}

// New returns a running engine at time 0.
func New(config Config) *Model {
	m := &Model{config: config.withDefaults(), slowdown: 1}
	m.start()
	return m
}

// incarnationShift is the position of the incarnation in the sequence number of a cache event.
const incarnationShift = 32

// Config returns the configuration, including the defaults.
func (m *Model) Config() Config { return m.config }

// start starts the engine without requests or cached blocks.
func (m *Model) start() {
	m.up = true
	m.incarnation++
	m.cacheCounter = m.incarnation << incarnationShift
	m.memory = newMemory(m.config.KVBlocks, m.cacheChanged)
	m.sequences = make(map[string]*sequence)
	m.kvLink = NewStore(m.config.KVBytesPerSecond)
	m.weights = m.config.Weights
	m.role = m.config.Role
	m.adapters = make(map[string]port.WeightVersion)
	maps.Copy(m.adapters, m.config.Adapters)
}

// Submit submits a request. If it returns an error, the request does not run.
func (m *Model) Submit(now time.Duration, request Request) error {
	m.interrupt(now)
	if err := m.admissible(&request); err != nil {
		return err
	}
	m.arrivals++
	s := &sequence{request: request, arrival: m.arrivals, submittedAt: now}
	s.context = request.PromptTokens + request.ResumedTokens
	m.sequences[request.ID] = s
	if request.ImportedTokens > 0 {
		s.state = stateImporting
		s.imported = min(request.ImportedTokens, s.context)
		m.transfer(now, s, s.imported)
		return nil
	}
	m.enqueue(s)
	return nil
}

// admissible checks a request against the engine's current state.
func (m *Model) admissible(request *Request) error {
	context := request.PromptTokens + request.ResumedTokens
	switch {
	case !m.up:
		return ErrDown
	case context <= 0 || (request.target() <= 0 && !request.PrefillOnly):
		return ErrEmpty
	case m.sequences[request.ID] != nil:
		return ErrDuplicateID
	case m.role == RolePrefill && !request.PrefillOnly:
		return ErrRole
	case m.role == RoleDecode && (request.PrefillOnly || request.ImportedTokens < context):
		return ErrRole
	case m.blocksFor(context+request.target()+1) > m.config.KVBlocks:
		return ErrTooLarge
	case len(m.waiting) >= m.config.MaxWaiting:
		return ErrQueueFull
	}
	if _, loaded := m.adapters[request.Adapter]; request.Adapter != "" && !loaded {
		return ErrAdapterNotLoaded
	}
	return nil
}

func (m *Model) enqueue(s *sequence) {
	s.state = stateWaiting
	heap.Push(&m.waiting, s)
	m.dirty = true
}

// Cancel ends a request immediately and reports whether it existed. The request's token of
// the current step is lost.
func (m *Model) Cancel(now time.Duration, id string) bool {
	m.interrupt(now)
	s := m.sequences[id]
	if s == nil {
		return false
	}
	m.remove(s)
	return true
}

// remove removes a sequence and frees its memory.
func (m *Model) remove(s *sequence) {
	m.detach(s)
	m.release(s)
	s.state = stateRemoved
	delete(m.sequences, s.request.ID)
	m.dirty = true
}

// detach removes a sequence from the queue or the batch.
func (m *Model) detach(s *sequence) {
	switch s.state {
	case stateWaiting:
		heap.Remove(&m.waiting, s.heapIndex)
	case stateRunning:
		index := slices.Index(m.running, s)
		m.running = slices.Delete(m.running, index, index+1)
	}
}

// Next returns the time of the next internal event; ok is false if there is none before the
// driver's next request or order.
func (m *Model) Next() (at time.Duration, ok bool) {
	if !m.up {
		return 0, false
	}
	consider := func(candidate time.Duration) {
		if !ok || candidate < at {
			at, ok = candidate, true
		}
	}
	for i := range m.timers {
		consider(m.timers[i].at)
	}
	switch {
	case m.run.active:
		consider(m.run.end())
	case m.swapping:
		consider(m.pausedUntil)
	case m.dirty || len(m.pending) > 0:
		consider(m.clock)
	}
	return at, ok
}

// Advance advances the time and returns the events since the last call, in order of
// time. The result is valid until the next call.
func (m *Model) Advance(now time.Duration) []Event {
	for {
		at, ok := m.Next()
		if !ok || at > now {
			break
		}
		m.process(max(at, m.clock))
	}
	m.completeSteps(now)
	m.clock = max(m.clock, now)
	result := m.events
	m.events, m.spare = m.spare[:0], m.events
	return result
}

// process handles all internal events that are due.
func (m *Model) process(at time.Duration) {
	m.clock = at
	m.completeSteps(at)
	m.fireTimers(at)
	if m.run.active {
		return
	}
	if m.swapping && at >= m.pausedUntil {
		m.finishSwap(at)
	}
	if len(m.pending) > 0 && !m.swapping {
		m.startSwap(at)
	}
	if !m.swapping && m.dirty {
		m.plan(at)
	}
}

// interrupt advances the model to time now for a call by the driver and ends the current
// run with the current step, so that the change takes effect at the next step.
func (m *Model) interrupt(now time.Duration) {
	for {
		at, ok := m.Next()
		if !ok || at >= now {
			break
		}
		m.process(max(at, m.clock))
	}
	m.clock = max(m.clock, now)
	m.completeSteps(m.clock)
	if !m.run.active {
		return
	}
	boundary := m.run.start + time.Duration(m.run.completed)*m.run.step
	if m.run.completed > 0 && boundary == m.clock {
		m.endRun()
		return
	}
	m.run.steps = m.run.completed + 1
}

// completeSteps generates the tokens of the steps that have ended by now.
func (m *Model) completeSteps(now time.Duration) {
	r := &m.run
	if !r.active {
		return
	}
	done := min(int((now-r.start)/r.step), r.steps)
	if count := done - r.completed; count > 0 {
		m.generate(count)
		r.completed = done
	}
	if done == r.steps {
		m.endRun()
	}
}

// generate generates the tokens of the batch for the next count steps of the run.
func (m *Model) generate(count int) {
	r := &m.run
	first := r.start + time.Duration(r.completed+1)*r.step
	last := r.start + time.Duration(r.completed+count)*r.step
	m.totals.Steps += uint64(count)
	m.totals.Busy += time.Duration(count) * r.step
	for _, s := range r.batch {
		if s.state != stateRunning {
			continue
		}
		if s.request.PrefillOnly {
			continue
		}
		if s.generated == 0 {
			s.firstToken = first
		}
		version := m.versionOf(s)
		s.record(count, version)
		m.grow(s)
		m.totals.Generated += uint64(count)
		m.emit(Event{At: last, Kind: EventTokens, ID: s.request.ID, Count: count, Version: version})
	}
}

// endRun ends the run and finishes the sequences that are complete.
func (m *Model) endRun() {
	r := &m.run
	at := r.start + time.Duration(r.completed)*r.step
	r.active = false
	m.dirty = true
	for _, s := range r.batch {
		if s.state != stateRunning {
			continue
		}
		if s.request.PrefillOnly {
			m.awaitExport(s, at)
			continue
		}
		if s.remaining() <= 0 {
			m.finish(s, at)
		}
	}
}

func (m *Model) finish(s *sequence, at time.Duration) {
	reason := FinishStop
	if s.request.target() < s.request.OutputTokens {
		reason = FinishLength
	}
	m.remove(s)
	m.totals.Finished++
	m.emit(Event{At: at, Kind: EventFinished, ID: s.request.ID, Completion: s.completion(reason)})
}

// awaitExport removes a prefilled sequence from the batch. Its KV state stays in memory until
// the driver exports it.
func (m *Model) awaitExport(s *sequence, at time.Duration) {
	m.detach(s)
	s.state = stateAwaitingExport
	m.totals.Finished++
	m.emit(Event{At: at, Kind: EventFinished, ID: s.request.ID, Completion: s.completion(FinishPrefilled)})
}

func (m *Model) emit(event Event) { m.events = append(m.events, event) }

func (m *Model) blocksFor(tokens int) int {
	return (tokens + m.config.BlockTokens - 1) / m.config.BlockTokens
}

// versionOf returns the version that produces a sequence's next token.
func (m *Model) versionOf(s *sequence) port.WeightVersion {
	if s.request.Adapter != "" {
		return m.adapters[s.request.Adapter]
	}
	return m.weights.Version
}

// cacheChanged assigns a sequence number to a change of the prefix cache and emits it.
func (m *Model) cacheChanged(kind CacheEventKind, hash uint64) {
	m.cacheCounter++
	if !m.config.CacheEvents {
		return
	}
	change := CacheEvent{Sequence: m.cacheCounter, Kind: kind, Hash: hash}
	m.emit(Event{At: m.clock, Kind: EventCache, Cache: change})
}
