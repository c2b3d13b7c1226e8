package fault

import (
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// pagesPool is the application pool, trainingPool the pool of the engines.
const (
	pagesPool    port.PoolName = "pages"
	trainingPool port.PoolName = "lm"
)

// callJob is an application call at the node that accepted it.
type callJob struct {
	node     *node
	caller   *stream
	reply    func(callAnswer, *port.Error)
	call     string
	request  port.ApplicationRequest
	pool     *port.Pool
	gate     *nodeGate
	loop     *attempt.Loop
	deadline time.Time
	end      func()
	ended    bool

	ticket    *gate.Ticket
	replica   port.ReplicaID
	upstream  *stream
	startedAt time.Duration
}

// acceptCall serves an application call of a caller.
func (n *node) acceptCall(s *stream, call string, safe bool, timeout time.Duration, reply func(callAnswer, *port.Error)) {
	refuse := func(refusal *port.Error) { s.answer(true, func() { reply(callAnswer{}, refusal) }) }
	route := n.snapshot.Pools[pagesPool]
	switch {
	case n.draining:
		refuse(port.NewError(port.NotRun, port.CodeDraining, "the node is stopping"))
		return
	case route == nil:
		refuse(port.NewError(port.NotRun, port.CodeUnavailable, "the node has no configuration yet"))
		return
	}
	n.requests++
	deadline := n.world.clock().Add(timeout)
	j := &callJob{
		node: n, caller: s, reply: reply, call: call, pool: &route.Pool, gate: route.Gate.(*nodeGate),
		request:  port.ApplicationRequest{ID: n.requestID(), Pool: pagesPool, Safe: safe, Deadline: deadline},
		deadline: deadline, end: n.trackRequest(),
		loop: attempt.New(attempt.Rules{Safe: safe || n.world.without(SafeguardVerdict), Deadline: deadline}),
	}
	s.onDisconnect = j.abandon
	n.world.after(timeout, j.expire)
	j.attempt()
}

func (j *callJob) attempt() {
	n := j.node
	j.loop.Begin()
	j.upstream, j.replica = nil, ""
	j.ticket = &gate.Ticket{Owner: j, Request: gate.Request{
		ID: j.request.ID, Deadline: j.deadline, Avoid: j.loop.LastFailedReplica(),
		Scheduling: scheduling.Request{Pool: pagesPool, Zone: n.zone, Region: "region"},
	}}
	j.gate.offer(j.ticket)
}

// ticketResolved implements ticketOwner.
func (j *callJob) ticketResolved(ticket *gate.Ticket) {
	switch {
	case ticket != j.ticket || j.ended:
		j.gate.cancel(ticket)
	case ticket.State == gate.Refused:
		j.failed(attempt.Failure{Error: ticket.Refusal, Local: true})
	case ticket.State == gate.Granted:
		j.send(ticket.Replica)
	}
}

// send sends the call to the back end that the gate chose.
func (j *callJob) send(id port.ReplicaID) {
	w := j.node.world
	replica, configured := j.node.snapshot.Replicas[id]
	if !configured {
		j.gate.release(j.ticket, gate.Outcome{Abandoned: true})
		j.failed(attempt.Failure{Replica: id, Error: port.NewError(port.NotRun, port.CodeNoBackEnd, "replica %s was removed", id)})
		return
	}
	target := w.backEndAt(replica.Address)
	j.replica, j.startedAt = id, w.queue.Now()
	ticket := j.ticket
	onEnd := func(answer callAnswer, failure *port.Error) {
		if j.ticket == ticket && !j.ended {
			j.attemptEnded(answer, failure)
		}
	}
	j.upstream = w.dial(&j.node.process, &target.process, func(s *stream) {
		target.serve(s, j.request, j.call,
			func(answer callAnswer) { onEnd(answer, nil) },
			func(refusal *port.Error) { onEnd(callAnswer{}, refusal) })
	}, func(failure *port.Error) { onEnd(callAnswer{}, w.verdictOf(failure)) })
}

// attemptEnded handles the end of an attempt.
func (j *callJob) attemptEnded(answer callAnswer, failure *port.Error) {
	if failure == nil && answer.ID != j.request.ID && !j.node.world.without(SafeguardMatching) {
		failure = port.NewError(port.MayHaveRun, port.CodeBackEnd, "answer is to another request: %s", answer.ID)
	}
	j.release(failure, false, answer.Response.Status)
	if failure != nil {
		j.failed(attempt.Failure{Replica: j.replica, Error: failure})
		return
	}
	j.node.budget(j.pool).Success(j.node.world.clock())
	j.finish(answer, nil)
}

// release returns the slot to the gate and reports the outcome.
func (j *callJob) release(failure *port.Error, abandoned bool, status int) {
	n := j.node
	elapsed := n.world.queue.Now() - j.startedAt
	classification := home.ClassifyCall(failure, abandoned, status, elapsed)
	j.gate.release(j.ticket, classification.Outcome)
	if classification.AffectsHealth {
		n.state.HandleCallOutcome(n.world.clock(), outcomeOf(j.replica, classification))
		n.carryOut()
	}
}

func outcomeOf(replica port.ReplicaID, classification home.Classification) nodestate.CallOutcome {
	return nodestate.CallOutcome{Replica: replica, Failed: classification.Failed, LatencyMicros: classification.Latency.Microseconds()}
}

// failed retries after a failed attempt or ends the call.
func (j *callJob) failed(failure attempt.Failure) {
	step := j.loop.Failed(failure, j.node.decide(j.pool))
	if step.Kind == attempt.Final {
		j.finish(callAnswer{}, step.Error)
		return
	}
	j.node.world.count.retries++
	ticket := j.ticket
	j.upstream, j.replica = nil, ""
	j.node.later(step.After, func() {
		if !j.ended && j.ticket == ticket {
			j.attempt()
		}
	})
}

// expire ends the call at its deadline.
func (j *callJob) expire() {
	if j.ended {
		return
	}
	late := port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed")
	switch {
	case j.upstream != nil:
		late.Verdict = port.MayHaveRun
		j.upstream.close()
		j.release(late, false, 0)
	case j.ticket.State == gate.Waiting || j.ticket.State == gate.Granted:
		j.gate.cancel(j.ticket)
	}
	step := j.loop.Failed(attempt.Failure{Replica: j.replica, Error: late}, j.node.decide(j.pool))
	j.finish(callAnswer{}, j.loop.GiveUp(step.Error))
}

// abandon ends the call when its caller disconnects.
func (j *callJob) abandon() {
	if j.ended {
		return
	}
	if j.upstream != nil {
		j.upstream.close()
		j.release(port.NewError(port.MayHaveRun, port.CodeCancelled, "the caller disconnected"), true, 0)
	} else {
		j.gate.cancel(j.ticket)
	}
	j.ended = true
	j.end()
}

// finish sends the result to the caller.
func (j *callJob) finish(answer callAnswer, failure *port.Error) {
	j.ended = true
	if failure == nil && answer.Response.Status >= http.StatusInternalServerError {
		failure = port.NewError(port.Ran, port.CodeBackEnd, "the service failed")
	}
	j.caller.answer(true, func() { j.reply(answer, failure) })
	j.end()
}

// later runs work after a delay unless the process has died.
func (n *node) later(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.after(delay, func() {
		if n.incarnation == incarnation {
			run()
		}
	})
}
