package engine

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// run is a stretch of equal steps over an unchanged batch.
type run struct {
	active  bool
	start   time.Duration
	step    time.Duration // length of one step
	steps   int
	settled int // steps whose tokens are accounted for
	batch   []*sequence
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

	weights      Weights
	staged       []Weights // oldest first
	staging      []Weights
	adapters     map[string]port.WeightVersion
	role         Role
	fence        uint64
	pending      []Weights // activations that wait for the end of a step
	pausedUntil  time.Duration
	swapping     bool
	swapTarget   Weights
	swapFault    swapFault
	swapLandsOn  Weights
	timers       []timer
	cacheCounter uint64

	events []Event
	spare  []Event
	totals Totals
}

// Totals counts what an engine has done since it was created, across
// restarts.
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

// incarnationShift places the incarnation above the numbers of cache events.
const incarnationShift = 32

// Config returns the configuration with defaults filled in.
func (m *Model) Config() Config { return m.config }

// start brings up an empty engine.
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

// Submit hands a request to the engine. A request that is refused with an
// error did not run.
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

// admissible checks a request against the engine's present state.
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

// Cancel ends a request at once and reports whether it was there. Tokens of
// the step in progress are lost.
func (m *Model) Cancel(now time.Duration, id string) bool {
	m.interrupt(now)
	s := m.sequences[id]
	if s == nil {
		return false
	}
	m.remove(s)
	return true
}

// remove takes a sequence out of wherever it is and frees its memory.
func (m *Model) remove(s *sequence) {
	m.detach(s)
	m.release(s)
	s.state = stateGone
	delete(m.sequences, s.request.ID)
	m.dirty = true
}

// detach takes a sequence out of the queue or the batch.
func (m *Model) detach(s *sequence) {
	switch s.state {
	case stateWaiting:
		heap.Remove(&m.waiting, s.heapIndex)
	case stateRunning:
		index := slices.Index(m.running, s)
		m.running = slices.Delete(m.running, index, index+1)
	}
}

// Next returns the time of the next internal event; ok is false when nothing
// will happen without a call from outside.
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

// Advance lets time pass and returns what has happened since the last call,
// in order of time. The result is valid until the next call.
func (m *Model) Advance(now time.Duration) []Event {
	for {
		at, ok := m.Next()
		if !ok || at > now {
			break
		}
		m.process(max(at, m.clock))
	}
	m.settle(now)
	m.clock = max(m.clock, now)
	result := m.events
	m.events, m.spare = m.spare[:0], m.events
	return result
}

// process handles every internal event due at this time.
func (m *Model) process(at time.Duration) {
	m.clock = at
	m.settle(at)
	m.fireTimers(at)
	if m.run.active {
		return
	}
	if m.swapping && at >= m.pausedUntil {
		m.finishSwap(at)
	}
	if len(m.pending) > 0 && !m.swapping {
		m.beginSwap(at)
	}
	if !m.swapping && m.dirty {
		m.plan(at)
	}
}

// interrupt brings the model to time now for a call from outside and ends the
// present run with the step in progress, so that the change takes effect at
// the next step.
func (m *Model) interrupt(now time.Duration) {
	for {
		at, ok := m.Next()
		if !ok || at >= now {
			break
		}
		m.process(max(at, m.clock))
	}
	m.clock = max(m.clock, now)
	m.settle(m.clock)
	if !m.run.active {
		return
	}
	boundary := m.run.start + time.Duration(m.run.settled)*m.run.step
	if m.run.settled > 0 && boundary == m.clock {
		m.endRun()
		return
	}
	m.run.steps = m.run.settled + 1
}

// settle accounts for the steps that have ended by now.
func (m *Model) settle(now time.Duration) {
	r := &m.run
	if !r.active {
		return
	}
	done := min(int((now-r.start)/r.step), r.steps)
	if fresh := done - r.settled; fresh > 0 {
		m.generate(fresh)
		r.settled = done
	}
	if done == r.steps {
		m.endRun()
	}
}

// generate produces tokens for the batch in the next count steps of the run.
func (m *Model) generate(count int) {
	r := &m.run
	first := r.start + time.Duration(r.settled+1)*r.step
	last := r.start + time.Duration(r.settled+count)*r.step
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

// endRun closes the run and finishes the sequences that have reached their
// end.
func (m *Model) endRun() {
	r := &m.run
	at := r.start + time.Duration(r.settled)*r.step
	r.active = false
	m.dirty = true
	for _, s := range r.batch {
		if s.state != stateRunning {
			continue
		}
		if s.request.PrefillOnly {
			m.hold(s, at)
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

// hold keeps a prefilled sequence in memory until it is exported.
func (m *Model) hold(s *sequence, at time.Duration) {
	m.detach(s)
	s.state = stateHeld
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

// cacheChanged numbers and emits a change of the prefix cache.
func (m *Model) cacheChanged(kind CacheEventKind, hash uint64) {
	m.cacheCounter++
	if !m.config.CacheEvents {
		return
	}
	change := CacheEvent{Sequence: m.cacheCounter, Kind: kind, Hash: hash}
	m.emit(Event{At: m.clock, Kind: EventCache, Cache: change})
}
