package chaos

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of an operator.
const (
	responseTimeout = 1500 * time.Millisecond
	retryDelay      = 200 * time.Millisecond
	defaultMaxPause = 2 * time.Second
)

// operator changes the configuration, one change at a time, and reads in between. It
// retries a change at any member until it receives a response.
type operator struct {
	world    *World
	number   int
	revision port.Revision
	changes  int
	offset   time.Duration // of the operator's clock
	// hint is the last reported leader, which the operator calls first. Only scenarios with
	// a MaxPause set it.
	hint consensus.MemberID
}

func newOperator(world *World, number int) *operator {
	operator := &operator{world: world, number: number, offset: world.randomDuration(-20*time.Second, 20*time.Second)}
	world.after(world.randomDuration(time.Second, 3*time.Second), operator.next)
	return operator
}

// next starts the operator's next action.
func (o *operator) next() {
	if o.world.random.IntN(3) == 0 {
		o.read()
		return
	}
	o.change()
}

func (o *operator) pause() {
	maxPause := o.world.options.Scenario.MaxPause
	if maxPause == 0 {
		maxPause = defaultMaxPause
	}
	o.world.after(o.world.randomDuration(maxPause/20, maxPause), o.next)
}

func (o *operator) read() {
	operation := &operation{kind: operationRead, client: o.number, call: o.world.now}
	o.world.history.add(operation)
	o.send(nil, operation, o.hint)
}

// change proposes a change with a unique author, which identifies it in the log.
func (o *operator) change() {
	o.changes++
	name := fmt.Sprintf("operator-%d-change-%d", o.number, o.changes)
	edits := []port.Edit{{MachineList: address(name)}}
	if o.revision == 0 {
		pool := simulatedPool()
		edits = append(edits, port.Edit{PutPool: &pool})
	}
	command := &port.Command{
		ChangeID:            o.changeID(),
		ChangeConfiguration: &port.ChangeConfiguration{Expected: o.revision, Edits: edits, Author: name},
	}
	operation := &operation{kind: operationChange, client: o.number, name: name, expected: o.revision, call: o.world.now}
	o.world.history.add(operation)
	o.send(command, operation, o.hint)
}

func (o *operator) changeID() string {
	random := fmt.Appendf(nil, "%08x", o.world.random.Uint32())
	return registry.FormatChangeID(o.world.wallClock(o.offset), random)
}

func address(name string) *string {
	text := "http://10.0.0.1/" + name
	return &text
}

// send sends a command, or a read if command is nil, and retries until the operator receives
// a response.
func (o *operator) send(command *port.Command, operation *operation, hint consensus.MemberID) {
	target := o.world.machine(hint)
	if target == nil || target.lost {
		target = o.world.anyMachine()
	}
	if operation.attempts == 0 {
		operation.firstMember = target.id
	}
	o.world.submit(target, command, func(reply response) {
		if !operation.done && reply.err == nil {
			o.world.coverage.countResponse(operation, target, reply.result)
		}
		o.receive(command, operation, reply)
	})
	attempt := operation.attempts
	pause := responseTimeout
	if o.world.random.IntN(20) == 0 {
		pause = o.world.randomDuration(10*time.Second, 40*time.Second) // a late retry
	}
	o.world.after(pause, func() {
		if !operation.done && operation.attempts == attempt {
			operation.unanswered = true
			o.retry(command, operation, consensus.None)
		}
	})
}

func (o *operator) retry(command *port.Command, operation *operation, hint consensus.MemberID) {
	operation.attempts++
	if command != nil && o.world.options.Weakness == WeaknessNoDeduplication {
		copied := *command
		copied.ChangeID = o.changeID()
		command = &copied
	}
	o.send(command, operation, hint)
}

func (o *operator) receive(command *port.Command, operation *operation, reply response) {
	if operation.done {
		return
	}
	if reply.err != nil {
		attempt := operation.attempts
		operation.unanswered = operation.unanswered || reply.err.Verdict != port.NotRun
		o.world.after(retryDelay, func() {
			if !operation.done && operation.attempts == attempt {
				o.retry(command, operation, reply.leader)
			}
		})
		return
	}
	operation.finish(o.world.now, reply.result)
	if o.world.options.Scenario.MaxPause > 0 {
		o.hint = reply.leader
	}
	o.revision = max(o.revision, reply.result.Revision)
	o.world.tracef("operator %d: %s", o.number, operation)
	o.pause()
}
