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

// Intervals and limits of the callers.
const (
	pageInterval       = 20 * time.Millisecond
	completionInterval = 150 * time.Millisecond
	pageTimeout        = 1500 * time.Millisecond
	completionTimeout  = 20 * time.Second
	completionTokens   = 60
	// abandonShare is the share of callers that disconnect before the answer.
	abandonShare = 0.02
)

// startCallers starts the callers, which stop before the run ends.
func (w *world) startCallers() {
	w.nextCall(pageInterval, w.callPage)
	w.nextCall(completionInterval, w.callCompletion)
}

// nextCall repeats call at exponentially distributed intervals.
func (w *world) nextCall(mean time.Duration, call func()) {
	wait := time.Duration(w.random.callers.ExpFloat64() * float64(mean))
	w.after(wait, func() {
		if w.queue.Now() < w.faultsEnd()+settleTime-completionTimeout {
			call()
			w.nextCall(mean, call)
		}
	})
}

// caller is one call with its audit record.
type caller struct {
	world  *world
	record audit.Call
	ended  bool
}

func (w *world) newCaller(class, call string, unsafe bool, target *node) *caller {
	return &caller{world: w, record: audit.Call{
		Class: class, Target: target.name, Key: call, Unsafe: unsafe, StartedAt: w.queue.Now(),
	}}
}

// end records the outcome of the call.
func (c *caller) end(outcome audit.Outcome, detail string) {
	if c.ended {
		c.world.fail("call %s ended twice", c.record.Key)
		return
	}
	c.ended = true
	c.record.Outcome, c.record.Detail, c.record.EndedAt = outcome, detail, c.world.queue.Now()
	c.world.observed.rest.Calls = append(c.world.observed.rest.Calls, c.record)
}

// failed records an error returned by the service.
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

// connectionFailed records a connection error. A failed dial is reported as not run.
func (c *caller) connectionFailed(failure *port.Error) {
	if failure.Verdict == port.NotRun {
		c.end(audit.OutcomeNotRun, failure.Error())
		return
	}
	c.end(audit.OutcomeLost, failure.Error())
}

// anyNode draws the node to call, avoiding draining nodes as a load balancer would.
func (w *world) anyNode() *node {
	for range len(w.nodes) {
		if n := w.nodes[w.random.callers.IntN(len(w.nodes))]; !n.draining {
			return n
		}
	}
	return w.nodes[0]
}

// maybeAbandon lets a random share of callers disconnect early.
func (c *caller) maybeAbandon(s *stream, within time.Duration) {
	if c.world.random.callers.Float64() >= abandonShare {
		return
	}
	c.world.after(time.Duration(c.world.random.callers.Int64N(int64(within))), func() {
		if !c.ended && !s.closed {
			s.close()
			c.end(audit.OutcomeAbandoned, "")
		}
	})
}

// callPage makes an application call; half are unsafe to retry.
func (w *world) callPage() {
	w.calls++
	target := w.anyNode()
	unsafe := w.random.callers.IntN(2) == 0
	c := w.newCaller("pages", fmt.Sprintf("page-%d", w.calls), unsafe, target)
	s := w.dial(&w.callers, &target.process, func(s *stream) {
		target.acceptCall(s, c.record.Key, !unsafe, pageTimeout, c.answered)
	}, c.connectionFailed)
	c.maybeAbandon(s, 20*time.Millisecond)
}

func (c *caller) answered(answer callAnswer, failure *port.Error) {
	if failure != nil {
		c.failed(failure)
		return
	}
	c.record.AnswerKey, c.record.Complete = answer.Call, true
	c.end(audit.OutcomeAnswered, "")
}

// callCompletion requests a completion; half are unsafe to retry.
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
				c.record.Text += chunk.Text
				tokens += chunk.Tokens
				if chunk.Tokens > 0 {
					c.record.Spans = port.AppendTokens(c.record.Spans, chunk.Version, chunk.Tokens)
				}
			},
			ended: func(failure *port.Error) {
				if failure != nil {
					c.failed(failure)
					return
				}
				c.record.Complete = tokens == min(w.lengths.Of(key), completionTokens)
				if engine.SameContent(c.record.Text, key) {
					c.record.AnswerKey = c.record.Key
				}
				c.end(audit.OutcomeAnswered, "")
			},
		})
	}, c.connectionFailed)
	c.maybeAbandon(s, 2*time.Second)
}

// acceptCompletion serves a caller's completion request.
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
	end := n.trackRequest()
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
	s.onDisconnect = g.cancel
	g.attempt()
}

// requestID returns an id that is unique across restarts of the node.
func (n *node) requestID() port.RequestID {
	return port.RequestID(fmt.Sprintf("r-%s-%d-%d", n.id, n.incarnation, n.requests))
}
