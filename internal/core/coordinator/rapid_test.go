package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const stressPolicy = `
def plan(pool):
    return struct(
        target_in_flight = 24, over_provision = pool.version % 2, long_tokens = 6, long_priority = 9,
        resume = "long", predict_stale = True, selection = "freshest_first" if pool.version % 3 == 0 else "oldest_first",
    )
`

// machine drives a harness with random actions.
type machine struct {
	*harness
	previous []*coordinator.Coordinator
}

func (m *machine) pick(t *rapid.T) *attemptRun {
	if len(m.attempts) == 0 {
		t.Skip("no attempt is running")
	}
	return m.attempts[rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")]
}

func (m *machine) replaceCurrent() {
	m.previous = append(m.previous, m.current)
	m.replaceCoordinator()
}

// actions lists the random actions by the name printed in a failing case.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"tick": func(t *rapid.T) {
			m.tick(time.Duration(rapid.SampledFrom([]int{10, 300, 6000, 130000}).Draw(t, "ms")) * time.Millisecond)
		},
		"prompts":         func(t *rapid.T) { m.answerFetch(rapid.Bool().Draw(t, "fail")) },
		"lose fetch":      func(*rapid.T) { m.fetches = nil },
		"progress":        func(t *rapid.T) { m.progress(m.pick(t), rapid.IntRange(1, 9).Draw(t, "tokens")) },
		"finish":          func(t *rapid.T) { m.finish(m.pick(t)) },
		"finish many":     func(*rapid.T) { m.finishMany() },
		"finish twice":    func(t *rapid.T) { run := m.pick(t); m.finish(run); m.finish(run) },
		"fail":            func(t *rapid.T) { m.fail(m.pick(t), rapid.Bool().Draw(t, "partial")) },
		"lose attempt":    func(t *rapid.T) { m.remove(m.pick(t)) },
		"move":            func(*rapid.T) { m.endMoves() },
		"score":           func(t *rapid.T) { m.scoreOne(t, false) },
		"score fails":     func(t *rapid.T) { m.scoreOne(t, true) },
		"score all":       func(*rapid.T) { m.scoreAll() },
		"lose scores":     func(*rapid.T) { m.scores = nil },
		"commit":          func(*rapid.T) { m.resolveProposal(answered) },
		"commit again":    func(*rapid.T) { m.resolveProposal(answered) },
		"commit lost":     func(*rapid.T) { m.resolveProposal(answerLost) },
		"commit not sent": func(*rapid.T) { m.resolveProposal(neverSent) },
		"commit unknown":  func(*rapid.T) { m.resolveProposal(unknown) },
		"commit silent":   func(*rapid.T) { m.applyWithoutAnswer() },
		"read":            func(*rapid.T) { m.read() },
		"publish":         func(*rapid.T) { m.publish() },
		"publish unheard": func(*rapid.T) { m.published++ },
		"ask":             func(t *rapid.T) { m.requestNext(t) },
		"ask twice":       func(t *rapid.T) { m.requestNext(t); m.requestNext(t) },
		"ask earlier":     func(*rapid.T) { m.requestPrevious() },
		"forget answer":   func(*rapid.T) { m.loseDelivery() },
		"new trainer":     func(*rapid.T) { m.registerConsumer() },
		"take over":       func(*rapid.T) { m.replaceCurrent() },
		"former wakes":    func(t *rapid.T) { m.stepPrevious(t) },
		"":                m.checkBounds,
	}
}

// checkBounds runs after every action.
func (m *machine) checkBounds(t *rapid.T) {
	status := m.current.Status()
	limit := m.sampling.BufferBatches * m.sampling.BatchSamples
	if status.Running < 0 || status.Scoring < 0 || status.Buffered < 0 {
		t.Fatalf("negative count: %+v", status)
	}
	if status.Buffered > limit {
		t.Fatalf("%d samples buffered, limit is %d", status.Buffered, limit)
	}
}

func (m *machine) finishMany() {
	for _, run := range slices.Clone(m.attempts) {
		if slices.Contains(m.attempts, run) {
			m.finish(run)
		}
	}
}

func (m *machine) scoreOne(t *rapid.T, fail bool) {
	if len(m.scores) == 0 {
		t.Skip("nothing to score")
	}
	m.score(rapid.IntRange(0, len(m.scores)-1).Draw(t, "score"), fail)
}

func (m *machine) scoreAll() {
	for len(m.scores) > 0 {
		m.score(0, false)
	}
}

// applyWithoutAnswer applies a proposal to the log and drops its answer.
func (m *machine) applyWithoutAnswer() {
	if len(m.proposals) > 0 {
		m.apply(m.proposals[0].commit)
		m.proposals = m.proposals[1:]
	}
}

func (m *machine) requestNext(t *rapid.T) {
	m.requestBatch(m.next, m.trainer, time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds"))*time.Second)
}

func (m *machine) requestPrevious() {
	if m.next < 2 {
		return
	}
	token := m.requestBatch(m.next-1, m.trainer, 0)
	if _, open := m.closeRequest(token); open {
		m.step(m.current, coordinator.RequestAbandoned{Token: token})
	}
}

// loseDelivery makes the trainer lose the last answer before using it, so that it
// requests the same batch again.
func (m *machine) loseDelivery() {
	last := m.next - 1
	if m.highestRequested > last {
		return
	}
	if m.log.State(poolName).Committed == last && m.log.State(poolName).Acknowledged < last && last > 0 {
		delete(m.consumed, last)
		m.next = last
		m.tick(6 * time.Second)
	}
}

func (m *machine) stepPrevious(t *rapid.T) {
	if len(m.previous) == 0 {
		t.Skip("no previous coordinator")
	}
	previous := m.previous[rapid.IntRange(0, len(m.previous)-1).Draw(t, "former")]
	m.tokens++
	m.highestRequested = max(m.highestRequested, m.next)
	m.requests = append(m.requests, batchRequest{token: m.tokens, number: m.next, epoch: m.trainer, coordinator: previous})
	m.step(previous, coordinator.BatchRequested{Token: m.tokens, Number: m.next, ConsumerEpoch: m.trainer, Deadline: m.now})
	m.step(previous, coordinator.Tick{})
}

// checkEnd stops injecting faults and checks that the pool recovers, that every started
// prompt is committed, and that the trainer consumed the batches in the log.
func (m *machine) checkEnd(t *rapid.T) {
	m.scores, m.moves = nil, nil
	m.attempts = slices.DeleteFunc(m.attempts, func(run *attemptRun) bool { return run.owner != m.current })
	m.tick(3 * time.Minute)
	m.step(m.current, coordinator.WeightsPublished{Weights: port.PublishedWeights{Pool: poolName, Version: m.published}})
	highest := port.PromptIndex(0)
	state := m.log.State(poolName)
	for _, prompt := range state.PromptsAbove {
		highest = max(highest, prompt)
	}
	for round := 0; m.log.State(poolName).PromptsBelow <= highest || round < 3; round++ {
		if round > 60 {
			t.Fatalf("prompt %d is lost: %+v", m.log.State(poolName).PromptsBelow, m.current.Status())
		}
		m.train()
		m.publish()
	}
	m.checkConsumed(t)
}

// checkConsumed compares the consumed batches with the log's acknowledged batches.
func (m *machine) checkConsumed(t *rapid.T) {
	for number := port.BatchNumber(1); number < m.next; number++ {
		consumed, found := m.consumed[number]
		if !found {
			t.Fatalf("batch %d was not delivered", number)
		}
		if _, later := m.commits[batchKey(number, consumed.Attempt+1)]; later {
			t.Fatalf("batch %d was consumed in attempt %d, which was voided", number, consumed.Attempt)
		}
	}
}

func TestExactlyOnceUnderRandomFaults(t *testing.T) {
	testkit.Check(t, 20261202, func(rt *rapid.T) {
		m := &machine{harness: newHarness(rt, smallSampling(), stressPolicy)}
		rt.Repeat(m.actions())
		m.checkEnd(rt)
	})
}
