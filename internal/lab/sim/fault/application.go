package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// applicationWorkers is the number of calls that a back end runs concurrently.
const applicationWorkers = 4

// backEnd simulates a replica of an application service.
type backEnd struct {
	process
	world   *world
	id      port.ReplicaID
	address string
	running []*execution
	waiting []func()
	slow    time.Duration
	retired bool
	// Numbers of upcoming calls to mix up, refuse or fail.
	mixNext, refuseNext, failNext int
}

// execution is a running call.
type execution struct {
	record      *audit.Execution
	incarnation int
}

// callAnswer is a back end's response with the ids of the request and call that it claims
// to answer.
type callAnswer struct {
	ID       port.RequestID
	Call     string
	Response port.ApplicationResponse
}

func (w *world) newBackEnd(index int) *backEnd {
	return &backEnd{
		process: process{name: fmt.Sprintf("app-%d", index), zone: w.zone(index), up: true},
		world:   w, id: port.ReplicaID(fmt.Sprintf("page-%d", index)), address: fmt.Sprintf("10.2.0.%d:8000", index),
	}
}

// serve runs, queues or refuses a call.
func (b *backEnd) serve(s *stream, request port.ApplicationRequest, call string, handle func(callAnswer), refused func(*port.Error)) {
	if b.refuseNext > 0 {
		b.refuseNext--
		s.answer(true, func() { refused(port.NewError(port.NotRun, port.CodeUnavailable, "the back end refuses")) })
		return
	}
	incarnation := b.incarnation
	disconnected := false
	s.onDisconnect = func() { disconnected = true }
	start := func() {
		if b.incarnation == incarnation && !disconnected {
			b.run(s, request, call, handle)
		}
	}
	if len(b.running) >= applicationWorkers {
		b.waiting = append(b.waiting, start)
		return
	}
	start()
}

// run runs a call to its end, even if the client disconnects.
func (b *backEnd) run(s *stream, request port.ApplicationRequest, call string, handle func(callAnswer)) {
	w := b.world
	run := &execution{incarnation: b.incarnation, record: &audit.Execution{
		BackEnd: b.address, RequestID: string(request.ID), From: string(s.client.zone), Call: call, StartedAt: w.queue.Now(),
	}}
	b.running = append(b.running, run)
	w.observed.executions = append(w.observed.executions, run.record)
	took := time.Duration(2+w.random.service.IntN(12))*time.Millisecond + b.slow
	w.after(took, func() {
		if b.incarnation != run.incarnation {
			return
		}
		b.finish(run, audit.EndFinished)
		b.next()
		answer := callAnswer{ID: request.ID, Call: call, Response: port.ApplicationResponse{Status: http.StatusOK}}
		switch {
		case b.failNext > 0:
			b.failNext--
			answer.Response.Status = http.StatusInternalServerError
		case b.mixNext > 0:
			b.mixNext--
			answer.ID, answer.Call = "mixed-"+request.ID, "mixed-"+call
		}
		s.answer(true, func() { handle(answer) })
	})
}

func (b *backEnd) finish(run *execution, how audit.End) {
	run.record.End, run.record.EndedAt = how, b.world.queue.Now()
	for index, other := range b.running {
		if other == run {
			b.running = append(b.running[:index], b.running[index+1:]...)
			return
		}
	}
}

// next starts queued calls while workers are free.
func (b *backEnd) next() {
	for len(b.waiting) > 0 && len(b.running) < applicationWorkers {
		start := b.waiting[0]
		b.waiting = b.waiting[1:]
		start()
	}
}

// crash aborts all calls and restarts the back end after downtime.
func (b *backEnd) crash(downtime time.Duration) {
	if !b.up {
		return
	}
	for _, run := range b.running {
		run.record.End, run.record.EndedAt = audit.EndCrashed, b.world.queue.Now()
	}
	b.running, b.waiting = nil, nil
	b.world.kill(&b.process)
	b.world.after(downtime, func() { b.up = !b.retired })
}

func (b *backEnd) idle() bool { return len(b.running) == 0 && len(b.waiting) == 0 }
