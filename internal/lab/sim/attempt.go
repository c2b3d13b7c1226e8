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

// placeholderText replaces the text of an attempt; its length has no meaning.
const placeholderText = "t"

// attempt is one attempt at a sample, from the coordinator's action to its outcome.
type attempt struct {
	pool   *samplePool
	start  coordinator.StartSample
	name   string
	sample *sampleRecord

	// replica is the replica that runs it; nil before that.
	replica *replica
	// zone is the zone of the node or replica that currently handles the attempt.
	zone port.ZoneName
	// slotHeld reports whether the router counts it as in flight. The ticket is that
	// of the home node's gate; nil with a baseline.
	slotHeld bool
	ticket   *gate.Ticket
	home     *homeNode
	// acceptedBy is the node that chose the replica; counted points to its counts
	// for the replica, nil while the attempt isn't counted.
	acceptedBy *homeNode
	counted    *placement.Counts
	// startedAt is when it reached the engine.
	startedAt time.Duration
	tokens    int
	spans     []port.Span
	// cancelled is set once the coordinator cancelled it.
	cancelled bool
	ended     bool
	// imported is the number of context tokens imported from the previous replica.
	imported int
}

// newAttempt returns the attempt that the coordinator requested.
func newAttempt(pool *samplePool, start coordinator.StartSample) *attempt {
	return &attempt{
		pool: pool, start: start, sample: pool.recordOf(&start), zone: pool.zone,
		name: fmt.Sprintf("%s.%d", start.ID, start.Attempt),
	}
}

// request returns the request to the engine.
func (a *attempt) request() engine.Request {
	prompt := a.pool.prompt(a.start.Prompt.Index)
	return engine.Request{
		ID: a.name, Priority: int(a.priority()), Adapter: a.pool.settings.Adapter,
		PromptTokens: prompt.tokens, PromptBlocks: prompt.blocks, ContentKey: a.sample.key,
		ResumedTokens: a.start.ResumeTokens, ImportedTokens: a.imported,
		OutputTokens: a.sample.length - a.start.ResumeTokens, MaxTokens: a.start.MaxTokens,
	}
}

// priority returns the coordinator's priority, or 0 without PartPriorities.
func (a *attempt) priority() port.Priority {
	if a.pool.world.options.Variant.enabled(PartPriorities) {
		return a.start.Priority
	}
	return 0
}

// countSent makes the accepting node count the attempt at a replica.
func (a *attempt) countSent(at port.ReplicaID) {
	a.countFinished()
	a.counted = a.acceptedBy.chooserState.countsOf(at)
	a.counted.Sent++
}

// countFinished makes the accepting node count the end of the attempt.
func (a *attempt) countFinished() {
	if a.counted != nil {
		a.counted.Finished++
		a.counted = nil
	}
}

// placed records the arrival at the engine.
func (a *attempt) placed(at *replica) {
	a.replica, a.zone = at, at.zone
	a.startedAt = a.pool.world.now
	a.sample.start(a.startedAt)
}

// finished handles the engine's completion.
func (a *attempt) finished(completion *engine.Completion) {
	a.checkSpans(completion)
	a.sample.addSpans(a.spans)
	a.release(home.ClassifyGeneration(nil, false, a.tokens, a.pool.world.now-a.startedAt).Outcome)
	a.pool.world.after(a.coordinatorLatency(), func() {
		a.finish(coordinator.SampleFinished{
			ID: a.start.ID, Attempt: a.start.Attempt, Replica: a.replica.id,
			Text: placeholderText, Tokens: a.tokens, Spans: a.spans,
		})
	})
}

// checkSpans compares the streamed spans with those of the completion.
func (a *attempt) checkSpans(completion *engine.Completion) {
	if !sameSpans(a.spans, completion.Spans) {
		a.pool.world.auditRecords.addViolation("attempt %s: streamed spans %v, the engine reported %v", a.name, a.spans, completion.Spans)
	}
}

// coordinatorLatency returns the latency to the coordinator.
func (a *attempt) coordinatorLatency() time.Duration {
	return a.pool.world.latency(a.zone, a.pool.zone)
}

// refused fails an attempt that did not run.
func (a *attempt) refused(refusal *port.Error) {
	a.fail(a.coordinatorLatency(), refusal)
}

// cancel stops the attempt after the latency of the coordinator's request.
func (a *attempt) cancel(export bool) {
	if a.cancelled || a.ended {
		return
	}
	a.cancelled = true
	a.pool.world.after(a.coordinatorLatency(), func() { a.stop(export) })
}

// stop removes the attempt from the queue or the engine.
func (a *attempt) stop(export bool) {
	if a.ended {
		return
	}
	cancelled := port.NewError(port.MayHaveRun, port.CodeCancelled, "cancelled by the coordinator")
	if a.replica == nil {
		a.release(gate.Outcome{Abandoned: true})
		a.fail(0, cancelled)
		return
	}
	if export && a.pool.world.export(a) {
		return
	}
	if !a.replica.cancel(a) {
		return
	}
	a.sample.addSpans(a.spans)
	a.release(gate.Outcome{Abandoned: true})
	a.fail(a.coordinatorLatency(), cancelled)
}

// fail reports to the coordinator that the attempt produced no complete text.
func (a *attempt) fail(after time.Duration, cause *port.Error) {
	event := coordinator.SampleFailed{
		ID: a.start.ID, Attempt: a.start.Attempt, Err: cause, Tokens: a.tokens, Spans: a.spans,
	}
	if a.replica != nil {
		event.Replica = a.replica.id
	}
	if a.tokens > 0 {
		event.Text = placeholderText
	}
	a.pool.world.after(after, func() { a.finish(event) })
}

// finish passes the final event to the coordinator, once.
func (a *attempt) finish(event coordinator.Event) {
	if a.ended {
		return
	}
	a.ended = true
	a.countFinished()
	delete(a.pool.attempts, attemptKey{a.start.ID, a.start.Attempt})
	a.pool.step(event)
}

// release returns the attempt's slot to the router.
func (a *attempt) release(outcome gate.Outcome) {
	if a.slotHeld {
		a.slotHeld = false
		a.pool.world.router.release(a, outcome)
	}
}

// failExported ends an attempt whose cache was exported.
func (a *attempt) failExported() {
	a.release(gate.Outcome{Abandoned: true})
	a.fail(a.coordinatorLatency(), port.NewError(port.MayHaveRun, port.CodeCancelled, "moved by the coordinator"))
}

// reportProgress sends the tokens so far to the coordinator.
func (a *attempt) reportProgress() {
	if a.tokens == 0 {
		return
	}
	event := coordinator.SampleProgress{
		ID: a.start.ID, Attempt: a.start.Attempt, Replica: a.replica.id,
		Tokens: a.tokens, Spans: a.spans,
	}
	a.pool.world.after(a.coordinatorLatency(), func() {
		if !a.ended {
			a.pool.step(event)
		}
	})
}

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
