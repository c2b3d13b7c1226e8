package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// applicationWorkers is the number of calls that a back end runs at a time.
const applicationWorkers = 4

// backEnd stands in for a replica of an application service.
type backEnd struct {
	process
	world   *world
	id      port.ReplicaID
	address string
	running []*execution
	waiting []func()
	slow    time.Duration
	retired bool
	// Faults that concern the next calls.
	mixNext, refuseNext, failNext int
}

// execution is one call that runs.
type execution struct {
	seen *audit.Execution
	life int
}

// callAnswer is what a back end answers, with the request that it is for.
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

// serve runs a call, or refuses it.
func (b *backEnd) serve(s *stream, request port.ApplicationRequest, call string, take func(callAnswer), refused func(*port.Error)) {
	if b.refuseNext > 0 {
		b.refuseNext--
		s.answer(true, func() { refused(port.NewError(port.NotRun, port.CodeUnavailable, "the back end refuses")) })
		return
	}
	life := b.life
	gone := false
	s.left = func() { gone = true }
	start := func() {
		if b.life == life && !gone {
			b.run(s, request, call, take)
		}
	}
	if len(b.running) >= applicationWorkers {
		b.waiting = append(b.waiting, start)
		return
	}
	start()
}

// run runs a call. It goes on when the asker leaves, as services do.
func (b *backEnd) run(s *stream, request port.ApplicationRequest, call string, take func(callAnswer)) {
	w := b.world
	run := &execution{life: b.life, seen: &audit.Execution{
		BackEnd: b.address, RequestID: string(request.ID), From: string(s.client.zone), Call: call, StartedAt: w.queue.Now(),
	}}
	b.running = append(b.running, run)
	w.seen.executions = append(w.seen.executions, run.seen)
	took := time.Duration(2+w.random.service.IntN(12))*time.Millisecond + b.slow
	w.after(took, func() {
		if b.life != run.life {
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
		s.answer(true, func() { take(answer) })
	})
}

func (b *backEnd) finish(run *execution, how audit.End) {
	run.seen.End, run.seen.EndedAt = how, b.world.queue.Now()
	for index, other := range b.running {
		if other == run {
			b.running = append(b.running[:index], b.running[index+1:]...)
			return
		}
	}
}

// next starts waiting calls while there are workers.
func (b *backEnd) next() {
	for len(b.waiting) > 0 && len(b.running) < applicationWorkers {
		start := b.waiting[0]
		b.waiting = b.waiting[1:]
		start()
	}
}

// crash loses everything that runs, and comes back later.
func (b *backEnd) crash(away time.Duration) {
	if !b.up {
		return
	}
	for _, run := range b.running {
		run.seen.End, run.seen.EndedAt = audit.EndCrashed, b.world.queue.Now()
	}
	b.running, b.waiting = nil, nil
	b.world.kill(&b.process)
	b.world.after(away, func() { b.up = !b.retired })
}

func (b *backEnd) idle() bool { return len(b.running) == 0 && len(b.waiting) == 0 }
