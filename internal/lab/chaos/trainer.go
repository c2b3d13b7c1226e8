package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of the trainer.
const (
	askTimeout   = 800 * time.Millisecond
	publishEvery = 3 * time.Second
	// restartOdds is one in how many batches the trainer restarts after.
	restartOdds = 15
)

// ask is the trainer's question for a batch. Only the answer to its last ask
// counts.
type ask struct {
	number port.BatchNumber
	epoch  port.Epoch
	id     uint64
}

// trainer asks for one batch after the other and publishes versions.
type trainer struct {
	world    *World
	consumer port.Consumer
	next     port.BatchNumber
	current  uint64
	version  port.WeightVersion
}

func newTrainer(world *World) *trainer {
	trainer := &trainer{world: world, next: 1}
	world.after(3*time.Second, trainer.register)
	world.after(4*time.Second, trainer.publish)
	return trainer
}

// register makes the trainer the pool's consumer, under a new epoch.
func (t *trainer) register() {
	t.current++
	attempt := t.current
	command := &port.Command{RegisterConsumer: &port.RegisterConsumer{Pool: poolName, Consumer: "trainer"}}
	t.world.submit(t.world.anyMachine(), command, func(reply answer) {
		if t.current != attempt || reply.err != nil || reply.result.Error != nil {
			return
		}
		t.consumer = *reply.result.Consumer
		t.next = max(t.next, t.consumer.Next)
		t.ask()
	})
	t.world.after(askTimeout, func() {
		if t.current == attempt {
			t.register()
		}
	})
}

// ask asks one of the nodes for the next batch.
func (t *trainer) ask() {
	t.current++
	question := ask{number: t.next, epoch: t.consumer.Epoch, id: t.current}
	holder := t.world.holders[t.world.random.IntN(len(t.world.holders))]
	t.world.network.carry(outside, outside, t.world.now, func() { holder.serve(question) })
	t.world.after(askTimeout, func() {
		if t.current == question.id {
			t.askOrRegister()
		}
	})
}

// askOrRegister asks again; now and then it registers anew, since it may have
// been fenced off by a registration whose answer was lost.
func (t *trainer) askOrRegister() {
	if t.world.random.IntN(restartOdds) == 0 {
		t.register()
		return
	}
	t.ask()
}

func (t *trainer) receive(question ask, batch port.CommitBatch) {
	if question.id != t.current || batch.Number != t.next {
		return
	}
	t.world.audit.noteDelivered(batch)
	t.next++
	t.current++
	asked := t.current
	t.world.after(t.world.between(100*time.Millisecond, 600*time.Millisecond), func() {
		if t.current == asked {
			t.askOrRegister()
		}
	})
}

// publish publishes the next version.
func (t *trainer) publish() {
	t.world.after(publishEvery, t.publish)
	command := &port.Command{PublishWeights: &port.PublishWeights{Pool: poolName, Version: t.version + 1, Bytes: 1 << 20}}
	t.world.submit(t.world.anyMachine(), command, func(reply answer) {
		if reply.err == nil {
			t.version = max(t.version, reply.result.Current)
		}
	})
}
