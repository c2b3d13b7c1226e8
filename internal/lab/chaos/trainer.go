package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of the trainer.
const (
	requestTimeout  = 800 * time.Millisecond
	publishInterval = 3 * time.Second
	// restartOdds is the number of batch requests per new registration of the trainer.
	restartOdds = 15
)

// batchRequest is the trainer's request for a batch. The trainer accepts only the response
// to its last request.
type batchRequest struct {
	number port.BatchNumber
	epoch  port.Epoch
	id     uint64
}

// trainer requests one batch at a time and publishes versions.
type trainer struct {
	world     *World
	consumer  port.Consumer
	next      port.BatchNumber
	requestID uint64
	version   port.WeightVersion
}

func newTrainer(world *World) *trainer {
	trainer := &trainer{world: world, next: 1}
	world.after(3*time.Second, trainer.register)
	world.after(4*time.Second, trainer.publish)
	return trainer
}

// register makes the trainer the pool's consumer, under a new epoch.
func (t *trainer) register() {
	t.requestID++
	attempt := t.requestID
	command := &port.Command{RegisterConsumer: &port.RegisterConsumer{Pool: poolName, Consumer: "trainer"}}
	t.world.submit(t.world.anyMachine(), command, func(reply response) {
		if t.requestID != attempt || reply.err != nil || reply.result.Error != nil {
			return
		}
		t.consumer = *reply.result.Consumer
		t.next = max(t.next, t.consumer.Next)
		t.requestBatch()
	})
	t.world.after(requestTimeout, func() {
		if t.requestID == attempt {
			t.register()
		}
	})
}

// requestBatch requests the next batch from a random node.
func (t *trainer) requestBatch() {
	t.requestID++
	request := batchRequest{number: t.next, epoch: t.consumer.Epoch, id: t.requestID}
	holder := t.world.holders[t.world.random.IntN(len(t.world.holders))]
	t.world.network.send(outside, outside, t.world.now, func() { holder.serve(request) })
	t.world.after(requestTimeout, func() {
		if t.requestID == request.id {
			t.requestOrRegister()
		}
	})
}

// requestOrRegister requests the next batch, or at random registers again: a registration
// whose response was lost may have fenced off the trainer.
func (t *trainer) requestOrRegister() {
	if t.world.random.IntN(restartOdds) == 0 {
		t.register()
		return
	}
	t.requestBatch()
}

func (t *trainer) receive(request batchRequest, batch port.CommitBatch) {
	if request.id != t.requestID || batch.Number != t.next {
		return
	}
	t.world.audit.checkDelivered(batch)
	t.next++
	t.requestID++
	requestID := t.requestID
	t.world.after(t.world.randomDuration(100*time.Millisecond, 600*time.Millisecond), func() {
		if t.requestID == requestID {
			t.requestOrRegister()
		}
	})
}

// publish publishes the next version.
func (t *trainer) publish() {
	t.world.after(publishInterval, t.publish)
	command := &port.Command{PublishWeights: &port.PublishWeights{Pool: poolName, Version: t.version + 1, Bytes: 1 << 20}}
	t.world.submit(t.world.anyMachine(), command, func(reply response) {
		if reply.err == nil {
			t.version = max(t.version, reply.result.Current)
		}
	})
}
