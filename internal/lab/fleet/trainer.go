package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// trainer consumes the batches of one pool. It asks the pool's coordinator
// directly; the HTTP in between is not emulated.
type trainer struct {
	fleet    *Fleet
	pool     int
	epoch    port.Epoch
	next     port.BatchNumber
	asking   *worker
	token    uint64
	readyAt  time.Duration
	began    time.Duration
	finished []time.Duration // time of each step, from ask to delivery
}

// ask asks for the next batch, once the trainer is done with the last one.
func (t *trainer) ask(by *worker) {
	if t.fleet.options.Samples == 0 || t.asking == by || t.fleet.Now() < t.readyAt {
		return
	}
	t.asking = by
	t.token++
	if t.began == 0 {
		t.began = t.fleet.Now()
	}
	by.tell(coordinator.BatchRequested{
		Token: t.token, Number: t.next, ConsumerEpoch: t.epoch, Deadline: t.fleet.wall().Add(time.Hour),
	})
}

// deliver takes a batch and checks that it comes in order and whole.
func (t *trainer) deliver(by *worker, batch coordinator.Deliver) {
	if batch.Number != t.next || len(batch.Samples) != t.fleet.options.Samples {
		t.fleet.violate("delivery", "pool %s delivers batch %d of %d samples, want %d of %d",
			by.name, batch.Number, len(batch.Samples), t.next, t.fleet.options.Samples)
	}
	t.finished = append(t.finished, t.fleet.Now()-t.began)
	t.next++
	t.asking, t.began = nil, 0
	t.readyAt = t.fleet.Now() + trainTime
}

// refused lets the trainer ask again a little later.
func (t *trainer) refused() {
	t.asking = nil
	t.readyAt = t.fleet.Now() + time.Second
}
