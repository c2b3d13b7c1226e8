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

const wildPolicy = `
def plan(pool):
    return struct(
        target_in_flight = 24, over_provision = pool.version % 2, long_tokens = 6, long_priority = 9,
        resume = "long", predict_stale = True, selection = "freshest_first" if pool.version % 3 == 0 else "oldest_first",
    )
`

// machine drives a world by random choices.
type machine struct {
	*world
	former []*coordinator.Coordinator
}

func (m *machine) pick(t *rapid.T) *attemptRun {
	if len(m.attempts) == 0 {
		t.Skip("nothing runs")
	}
	return m.attempts[rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")]
}

func (m *machine) replace() {
	m.former = append(m.former, m.current)
	m.takeOver()
}

// actions lists what may happen; the names show in a failing case.
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
		"commit":          func(*rapid.T) { m.settle(answered) },
		"commit again":    func(*rapid.T) { m.settle(answered) },
		"commit lost":     func(*rapid.T) { m.settle(answerLost) },
		"commit not sent": func(*rapid.T) { m.settle(neverSent) },
		"commit unknown":  func(*rapid.T) { m.settle(unknown) },
		"commit silent":   func(*rapid.T) { m.settleSilently() },
		"read":            func(*rapid.T) { m.read() },
		"publish":         func(*rapid.T) { m.publish() },
		"publish unheard": func(*rapid.T) { m.published++ },
		"ask":             func(t *rapid.T) { m.askOnce(t) },
		"ask twice":       func(t *rapid.T) { m.askOnce(t); m.askOnce(t) },
		"ask earlier":     func(*rapid.T) { m.askEarlier() },
		"forget answer":   func(*rapid.T) { m.forgetAnswer() },
		"new trainer":     func(*rapid.T) { m.registerConsumer() },
		"take over":       func(*rapid.T) { m.replace() },
		"former wakes":    func(t *rapid.T) { m.wakeFormer(t) },
		"":                m.checkBounds,
	}
}

// checkBounds holds after every action.
func (m *machine) checkBounds(t *rapid.T) {
	status := m.current.Status()
	most := m.sampling.BufferBatches * m.sampling.BatchSamples
	if status.Running < 0 || status.Scoring < 0 || status.Buffered < 0 {
		t.Fatalf("negative count: %+v", status)
	}
	if status.Buffered > most {
		t.Fatalf("%d finished samples wait, allowed are %d", status.Buffered, most)
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

// settleSilently lets the log take a proposal whose coordinator hears nothing.
func (m *machine) settleSilently() {
	if len(m.proposals) > 0 {
		m.apply(m.proposals[0].commit)
		m.proposals = m.proposals[1:]
	}
}

func (m *machine) askOnce(t *rapid.T) {
	m.ask(m.next, m.trainer, time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds"))*time.Second)
}

func (m *machine) askEarlier() {
	if m.next < 2 {
		return
	}
	token := m.ask(m.next-1, m.trainer, 0)
	if _, open := m.closeQuestion(token); open {
		m.step(m.current, coordinator.RequestAbandoned{Token: token})
	}
}

// forgetAnswer lets the trainer lose the last answer before it used it, so that
// it asks for the same batch again.
func (m *machine) forgetAnswer() {
	last := m.next - 1
	if m.asked > last {
		return
	}
	if m.log.State(poolName).Committed == last && m.log.State(poolName).Acknowledged < last && last > 0 {
		delete(m.used, last)
		m.next = last
		m.tick(6 * time.Second)
	}
}

func (m *machine) wakeFormer(t *rapid.T) {
	if len(m.former) == 0 {
		t.Skip("no former coordinator")
	}
	former := m.former[rapid.IntRange(0, len(m.former)-1).Draw(t, "former")]
	m.tokens++
	m.asked = max(m.asked, m.next)
	m.questions = append(m.questions, question{token: m.tokens, number: m.next, epoch: m.trainer, asked: former})
	m.step(former, coordinator.BatchRequested{Token: m.tokens, Number: m.next, ConsumerEpoch: m.trainer, Deadline: m.now})
	m.step(former, coordinator.Tick{})
}

// checkEnd takes the faults away and checks that the pool recovers, that every
// prompt begun is committed, and that the trainer used what the log holds.
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
	m.checkUsed(t)
}

// checkUsed compares what the trainer used with the log's acknowledged batches.
func (m *machine) checkUsed(t *rapid.T) {
	for number := port.BatchNumber(1); number < m.next; number++ {
		used, found := m.used[number]
		if !found {
			t.Fatalf("batch %d never came", number)
		}
		if _, later := m.commits[batchKey(number, used.Attempt+1)]; later {
			t.Fatalf("batch %d was used in attempt %d, which was voided", number, used.Attempt)
		}
	}
}

func TestExactlyOnceUnderRandomFaults(t *testing.T) {
	testkit.Check(t, 20261202, func(rt *rapid.T) {
		m := &machine{world: newWorld(rt, smallSampling(), wildPolicy)}
		rt.Repeat(m.actions())
		m.checkEnd(rt)
	})
}
