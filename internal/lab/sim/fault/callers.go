package fault

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of the callers.
const (
	pageInterval       = 20 * time.Millisecond
	completionInterval = 150 * time.Millisecond
	pageTimeout        = 1500 * time.Millisecond
	completionTimeout  = 20 * time.Second
	completionTokens   = 60
	// leaveShare of the callers leave before they are answered.
	leaveShare = 0.02
)

// startCallers begins the calls, which go on until shortly before the end.
func (w *world) startCallers() {
	w.nextCall(pageInterval, w.callPage)
	w.nextCall(completionInterval, w.callCompletion)
}

// nextCall makes calls at random times.
func (w *world) nextCall(mean time.Duration, call func()) {
	wait := time.Duration(w.random.callers.ExpFloat64() * float64(mean))
	w.after(wait, func() {
		if w.queue.Now() < w.faultsEnd()+settleTime-completionTimeout {
			call()
			w.nextCall(mean, call)
		}
	})
}

// caller is one call and what its caller saw.
type caller struct {
	world *world
	seen  audit.Call
	ended bool
}

func (w *world) newCaller(class, call string, unsafe bool, target *node) *caller {
	return &caller{world: w, seen: audit.Call{
		Class: class, Target: target.name, Key: call, Unsafe: unsafe, StartedAt: w.queue.Now(),
	}}
}

// end notes what the caller was told.
func (c *caller) end(outcome audit.Outcome, detail string) {
	if c.ended {
		c.world.fail("call %s ended twice", c.seen.Key)
		return
	}
	c.ended = true
	c.seen.Outcome, c.seen.Detail, c.seen.EndedAt = outcome, detail, c.world.queue.Now()
	c.world.seen.rest.Calls = append(c.world.seen.rest.Calls, c.seen)
}

// failed notes an error that loomgrade told.
func (c *caller) failed(failure *port.Error) {
	switch failure.Verdict {
	case port.NotRun:
		c.end(audit.OutcomeNotRun, failure.Error())
	case port.Ran:
		c.end(audit.OutcomeRan, failure.Error())
	default:
		c.end(audit.OutcomeMayHaveRun, failure.Error())
	}
}

// lost notes that the connection to the node failed. Where it could not be made
// nothing ran, and the caller knows.
func (c *caller) lost(failure *port.Error) {
	if failure.Verdict == port.NotRun {
		c.end(audit.OutcomeNotRun, failure.Error())
		return
	}
	c.end(audit.OutcomeLost, failure.Error())
}

// anyNode draws the node that a caller asks. Callers keep off nodes that say that
// they stop, as load balancers do.
func (w *world) anyNode() *node {
	for range len(w.nodes) {
		if n := w.nodes[w.random.callers.IntN(len(w.nodes))]; !n.draining {
			return n
		}
	}
	return w.nodes[0]
}

// leaves draws whether a caller leaves early, and lets it.
func (c *caller) leaves(s *stream, within time.Duration) {
	if c.world.random.callers.Float64() >= leaveShare {
		return
	}
	c.world.after(time.Duration(c.world.random.callers.Int64N(int64(within))), func() {
		if !c.ended && !s.closed {
			s.close()
			c.end(audit.OutcomeAbandoned, "")
		}
	})
}

// callPage makes an application call; half are not safe to repeat.
func (w *world) callPage() {
	w.calls++
	target := w.anyNode()
	unsafe := w.random.callers.IntN(2) == 0
	c := w.newCaller("pages", fmt.Sprintf("page-%d", w.calls), unsafe, target)
	s := w.dial(&w.callers, &target.process, func(s *stream) {
		target.acceptCall(s, c.seen.Key, !unsafe, pageTimeout, c.answered)
	}, c.lost)
	c.leaves(s, 20*time.Millisecond)
}

func (c *caller) answered(answer callAnswer, failure *port.Error) {
	if failure != nil {
		c.failed(failure)
		return
	}
	c.seen.AnswerKey, c.seen.Complete = answer.Call, true
	c.end(audit.OutcomeAnswered, "")
}

// callCompletion asks for a completion; half are not safe to repeat.
func (w *world) callCompletion() {
	w.calls++
	target := w.anyNode()
	unsafe := w.random.callers.IntN(2) == 0
	prompt := fmt.Sprintf("a caller's prompt, number %d", w.calls)
	c := w.newCaller("completions", audit.PromptKey(prompt), unsafe, target)
	request := port.GenerateRequest{
		Pool: trainingPool, Prompt: prompt, PromptTokens: engine.CountTokens(prompt), MaxTokens: completionTokens,
		Priority: 5, Seed: uint64(w.calls), Safe: !unsafe, PrefixHashes: prefix.HashBlocks(prompt, blockBytes),
	}
	key := engine.ContentKey(prompt, request.Seed)
	tokens := 0
	s := w.dial(&w.callers, &target.process, func(s *stream) {
		target.acceptCompletion(s, request, sink{
			chunk: func(chunk port.GenerateChunk) {
				c.seen.Text += chunk.Text
				tokens += chunk.Tokens
				if chunk.Tokens > 0 {
					c.seen.Spans = port.AppendTokens(c.seen.Spans, chunk.Version, chunk.Tokens)
				}
			},
			ended: func(failure *port.Error) {
				if failure != nil {
					c.failed(failure)
					return
				}
				c.seen.Complete = tokens == min(w.lengths.Of(key), completionTokens)
				if engine.SameContent(c.seen.Text, key) {
					c.seen.AnswerKey = c.seen.Key
				}
				c.end(audit.OutcomeAnswered, "")
			},
		})
	}, c.lost)
	c.leaves(s, 2*time.Second)
}

// acceptCompletion takes a caller's request for a completion.
func (n *node) acceptCompletion(s *stream, request port.GenerateRequest, to sink) {
	route := n.snapshot.Pools[request.Pool]
	switch {
	case n.draining:
		s.answer(true, func() { to.ended(port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")) })
		return
	case route == nil:
		s.answer(true, func() {
			to.ended(port.NewError(port.NotRun, port.CodeUnavailable, "the node has no configuration yet"))
		})
		return
	}
	n.requests++
	request.ID = n.requestID()
	end := n.begin()
	rules := attempt.Rules{
		Safe: request.Safe || n.world.without(SafeguardVerdict), Resume: true,
		MaxTokens: request.MaxTokens, Deadline: n.world.clock().Add(completionTimeout),
	}
	g := n.generate(request, rules, &route.Pool, sink{
		chunk: func(chunk port.GenerateChunk) { s.answer(false, func() { to.chunk(chunk) }) },
		ended: func(failure *port.Error) {
			s.answer(true, func() { to.ended(failure) })
			end()
		},
	})
	s.left = g.cancel
	g.attempt()
}

// requestID gives the id of an accepted request, unique over lives of the node.
func (n *node) requestID() port.RequestID {
	return port.RequestID(fmt.Sprintf("r-%s-%d-%d", n.id, n.life, n.requests))
}
