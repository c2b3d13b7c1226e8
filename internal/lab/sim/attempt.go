package sim

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// textMark stands for the text of an attempt; its length tells nothing.
const textMark = "t"

// attempt is one try at a sample, from the coordinator's order to its outcome.
type attempt struct {
	pool   *samplePool
	start  coordinator.StartSample
	name   string
	sample *sampleRecord

	// replica is where it runs; nil before.
	replica *replica
	// at is the zone of the node or replica that has it.
	at port.ZoneName
	// placeHeld says that the router counts it; ticket is its place in the gate
	// of home, nil with a baseline.
	placeHeld bool
	ticket    *gate.Ticket
	home      *homeNode
	// acceptor is the node that chose the place, counted its count of the replica.
	acceptor *homeNode
	counted  *placement.Counts
	// began is when it reached the engine.
	began  time.Duration
	tokens int
	spans  []port.Span
	// cancelled is set once the coordinator gave it up.
	cancelled bool
	ended     bool
	// imported counts the tokens whose cache came from the replica before.
	imported int
}

// newAttempt makes the attempt that the coordinator ordered.
func newAttempt(pool *samplePool, start coordinator.StartSample) *attempt {
	return &attempt{
		pool: pool, start: start, sample: pool.recordOf(&start), at: pool.zone,
		name: fmt.Sprintf("%s.%d", start.ID, start.Attempt),
	}
}

// request gives what the engine is asked for.
func (a *attempt) request() engine.Request {
	prompt := a.pool.prompt(a.start.Prompt.Index)
	return engine.Request{
		ID: a.name, Priority: int(a.priority()), Adapter: a.pool.settings.Adapter,
		PromptTokens: prompt.tokens, PromptBlocks: prompt.blocks, ContentKey: a.sample.key,
		ResumedTokens: a.start.ResumeTokens, ImportedTokens: a.imported,
		OutputTokens: a.sample.length - a.start.ResumeTokens, MaxTokens: a.start.MaxTokens,
	}
}

// priority is that of the coordinator, or none without priorities.
func (a *attempt) priority() port.Priority {
	if a.pool.world.options.Variant.with(PartPriorities) {
		return a.start.Priority
	}
	return 0
}

// count lets the accepting node count the attempt at its replica.
func (a *attempt) count(at port.ReplicaID) {
	a.countEnd()
	a.counted = a.acceptor.accepts.countsOf(at)
	a.counted.Sent++
}

// countEnd lets the accepting node count the end of the attempt.
func (a *attempt) countEnd() {
	if a.counted != nil {
		a.counted.Finished++
		a.counted = nil
	}
}

// placed notes that the attempt reached its engine.
func (a *attempt) placed(at *replica) {
	a.replica, a.at = at, at.zone
	a.began = a.pool.world.now
	a.sample.begin(a.began)
}

// finished takes the engine's end of the attempt.
func (a *attempt) finished(completion *engine.Completion) {
	a.checkSpans(completion)
	a.sample.ran(a.spans)
	a.leaveGate(home.ClassifyGeneration(nil, false, a.tokens, a.pool.world.now-a.began).Outcome)
	a.pool.world.after(a.way(), func() {
		a.conclude(coordinator.SampleFinished{
			ID: a.start.ID, Attempt: a.start.Attempt, Replica: a.replica.id,
			Text: textMark, Tokens: a.tokens, Spans: a.spans,
		})
	})
}

// checkSpans compares what was streamed with what the engine says in the end.
func (a *attempt) checkSpans(completion *engine.Completion) {
	if !sameSpans(a.spans, completion.Spans) {
		a.pool.world.books.violate("attempt %s: streamed spans %v, the engine says %v", a.name, a.spans, completion.Spans)
	}
}

// way is the latency from where the attempt is to the coordinator.
func (a *attempt) way() time.Duration { return a.pool.world.between(a.at, a.pool.zone) }

// refused ends an attempt that did not run.
func (a *attempt) refused(refusal *port.Error) {
	a.fail(a.way(), refusal)
}

// cancel stops the attempt on the coordinator's word.
func (a *attempt) cancel(export bool) {
	if a.cancelled || a.ended {
		return
	}
	a.cancelled = true
	a.pool.world.after(a.way(), func() { a.stop(export) })
}

// stop takes the attempt out of the queue or off the engine.
func (a *attempt) stop(export bool) {
	if a.ended {
		return
	}
	cancelled := port.NewError(port.MayHaveRun, port.CodeCancelled, "cancelled by the coordinator")
	if a.replica == nil {
		a.leaveGate(gate.Outcome{Abandoned: true})
		a.fail(0, cancelled)
		return
	}
	if export && a.pool.world.export(a) {
		return
	}
	if !a.replica.cancel(a) {
		return
	}
	a.sample.ran(a.spans)
	a.leaveGate(gate.Outcome{Abandoned: true})
	a.fail(a.way(), cancelled)
}

// fail tells the coordinator that the attempt gave no whole text.
func (a *attempt) fail(after time.Duration, cause *port.Error) {
	event := coordinator.SampleFailed{
		ID: a.start.ID, Attempt: a.start.Attempt, Err: cause, Tokens: a.tokens, Spans: a.spans,
	}
	if a.replica != nil {
		event.Replica = a.replica.id
	}
	if a.tokens > 0 {
		event.Text = textMark
	}
	a.pool.world.after(after, func() { a.conclude(event) })
}

// conclude tells the coordinator how the attempt ended.
func (a *attempt) conclude(event coordinator.Event) {
	if a.ended {
		return
	}
	a.ended = true
	a.countEnd()
	delete(a.pool.attempts, attemptKey{a.start.ID, a.start.Attempt})
	a.pool.step(event)
}

// leaveGate gives the attempt's place back to the router.
func (a *attempt) leaveGate(outcome gate.Outcome) {
	if a.placeHeld {
		a.placeHeld = false
		a.pool.world.router.leave(a, outcome)
	}
}

// leaveExported ends an attempt whose cache has been sent out.
func (a *attempt) leaveExported() {
	a.leaveGate(gate.Outcome{Abandoned: true})
	a.fail(a.way(), port.NewError(port.MayHaveRun, port.CodeCancelled, "moved by the coordinator"))
}

// tellProgress tells the coordinator of the tokens so far.
func (a *attempt) tellProgress() {
	if a.tokens == 0 {
		return
	}
	event := coordinator.SampleProgress{
		ID: a.start.ID, Attempt: a.start.Attempt, Replica: a.replica.id,
		Tokens: a.tokens, Spans: a.spans,
	}
	a.pool.world.after(a.way(), func() {
		if !a.ended {
			a.pool.step(event)
		}
	})
}

// sameSpans compares two lists of spans.
func sameSpans(one, other []port.Span) bool {
	if len(one) != len(other) {
		return false
	}
	for index := range one {
		if one[index] != other[index] {
			return false
		}
	}
	return true
}
