package engine

import (
	"container/heap"
	"sort"
	"time"
)

// watermarkDivisor is the divisor of KVBlocks for the blocks that admission reserves for the
// growth of running sequences.
const watermarkDivisor = 100

// plan selects the next batch and the number of equal steps that it can run before
// anything can change.
func (m *Model) plan(at time.Duration) {
	m.dirty = false
	m.preemptForGrowth(at)
	prefillTokens := m.continuePrefill()
	prefillTokens += m.admit(m.config.PrefillTokensPerStep - prefillTokens)
	r := &m.run
	clear(r.batch)
	r.batch = r.batch[:0]
	for _, s := range m.running {
		if s.prefilled() {
			r.batch = append(r.batch, s)
		}
	}
	if len(m.running) == 0 {
		return
	}
	r.active, r.start, r.completed = true, at, 0
	r.step = m.stepTime(len(r.batch), prefillTokens)
	r.steps = 1
	if prefillTokens == 0 {
		r.steps = m.mergeableSteps()
	}
}

func (m *Model) stepTime(decoding, prefillTokens int) time.Duration {
	step := m.config.StepBase +
		time.Duration(decoding)*m.config.StepPerSequence +
		time.Duration(prefillTokens)*m.config.StepPerPrefillToken
	return max(time.Duration(float64(step)*m.slowdown), 1)
}

// mergeableSteps returns the number of steps for which the batch does not change: until
// the first sequence ends or memory runs out. A waiting request that does not fit now
// will not fit during the run either, since memory use only grows.
func (m *Model) mergeableSteps() int {
	steps := m.config.maxRunSteps
	for _, s := range m.run.batch {
		steps = min(steps, s.remaining())
	}
	if m.growth(steps) <= m.memory.available() {
		return max(steps, 1)
	}
	tooMany := sort.Search(steps, func(n int) bool { return m.growth(n) > m.memory.available() })
	return max(tooMany-1, 1)
}

// growth returns the number of additional blocks that the decoding sequences need to generate
// the given number of tokens each.
func (m *Model) growth(steps int) int {
	total := 0
	for _, s := range m.running {
		if s.prefilled() {
			total += max(m.blocksFor(s.context+steps)-s.blocks(), 0)
		}
	}
	return total
}

// preemptForGrowth preempts sequences until every decoding sequence has memory for its
// next token. It preempts the lowest priority first, and of equal ones the latest arrival.
func (m *Model) preemptForGrowth(at time.Duration) {
	for len(m.running) > 0 && m.growth(1) > m.memory.available() {
		victim := m.running[0]
		for _, s := range m.running[1:] {
			if victim.before(s) {
				victim = s
			}
		}
		m.preempt(victim, at)
	}
}

// preempt frees a sequence's memory and puts it back into the queue.
func (m *Model) preempt(s *sequence, at time.Duration) {
	m.detach(s)
	m.release(s)
	s.preemptions++
	m.totals.Preemptions++
	m.enqueue(s)
	m.dirty = false
	m.emit(Event{At: at, Kind: EventPreempted, ID: s.request.ID})
}

// continuePrefill schedules prompt tokens of sequences that were admitted in earlier
// steps and returns their number.
func (m *Model) continuePrefill() int {
	scheduled := 0
	for _, s := range m.running {
		if !s.prefilled() {
			scheduled += m.schedulePrefill(s, m.config.PrefillTokensPerStep-scheduled)
		}
	}
	return scheduled
}

// schedulePrefill schedules up to budget context tokens of a sequence in the step being
// planned. Full blocks become shareable immediately, also within the same step.
func (m *Model) schedulePrefill(s *sequence, budget int) int {
	tokens := min(s.context-s.computed, budget)
	s.computed += tokens
	m.totals.Prefilled += uint64(tokens)
	m.shareBlocks(s, s.computed/m.config.BlockTokens)
	return tokens
}

// shareBlocks makes the first count blocks of a sequence shareable.
func (m *Model) shareBlocks(s *sequence, count int) {
	if s.unshareable {
		return
	}
	previous := s.lastSharedHash()
	for i := len(s.shared); i < count && s.private > 0; i++ {
		previous = s.blockHash(i, previous)
		s.private--
		s.shared = append(s.shared, m.memory.share(previous))
	}
}

// admit moves waiting sequences into the batch in order of priority, as long as the
// batch size, memory and the budget of prompt tokens allow it. It returns the number of
// prompt tokens scheduled.
func (m *Model) admit(budget int) int {
	scheduled := 0
	for len(m.waiting) > 0 && len(m.running) < m.config.MaxSequences && scheduled < budget {
		s := m.waiting[0]
		if !m.reserveMemory(s) {
			break
		}
		heap.Pop(&m.waiting)
		s.state = stateRunning
		m.running = append(m.running, s)
		scheduled += m.schedulePrefill(s, budget-scheduled)
	}
	return scheduled
}

// reserveMemory reserves memory for a waiting sequence, reusing cached blocks, and reports
// whether the sequence fits.
func (m *Model) reserveMemory(s *sequence) bool {
	m.reuseCached(s)
	needed := m.blocksFor(s.context+1) - len(s.shared)
	reserve := 0
	if len(m.running) > 0 {
		reserve = m.config.KVBlocks/watermarkDivisor + m.growth(1)
	}
	if needed+reserve > m.memory.available() {
		m.dropShared(s)
		return false
	}
	m.memory.allocate(needed)
	s.private = needed
	s.unshareable = false
	s.computed = max(len(s.shared)*m.config.BlockTokens, s.imported)
	if s.imported < s.context {
		// The last token is always computed, since decoding continues from it.
		s.computed = min(s.computed, s.context-1)
	}
	if !s.admitted {
		s.admitted = true
		s.cachedHits = len(s.shared) * m.config.BlockTokens
	}
	m.totals.CacheHits += uint64(len(s.shared) * m.config.BlockTokens)
	s.imported = 0
	return true
}

// reuseCached acquires the blocks of the longest cached prefix of the context.
func (m *Model) reuseCached(s *sequence) {
	previous := uint64(0)
	for i := range s.context / m.config.BlockTokens {
		previous = s.blockHash(i, previous)
		b := m.memory.find(previous)
		if b == nil {
			return
		}
		s.shared = append(s.shared, b)
	}
}

// grow allocates the blocks for a sequence's new tokens. The plan has ensured that they
// are available.
func (m *Model) grow(s *sequence) {
	if missing := m.blocksFor(s.context) - s.blocks(); missing > 0 {
		m.memory.allocate(missing)
		s.private += missing
	}
}

// release frees a sequence's memory. If CacheGenerated is set, its blocks stay in the
// prefix cache.
func (m *Model) release(s *sequence) {
	if m.config.CacheGenerated && s.blocks() > 0 && s.prefilled() {
		m.shareBlocks(s, s.context/m.config.BlockTokens)
	}
	m.memory.deallocate(s.private)
	s.private = 0
	m.dropShared(s)
	s.computed = 0
}

// dropShared releases shared blocks from the end, so that the start of a prefix stays
// cached longest.
func (m *Model) dropShared(s *sequence) {
	for i := len(s.shared) - 1; i >= 0; i-- {
		m.memory.unref(s.shared[i])
	}
	s.shared = s.shared[:0]
}
