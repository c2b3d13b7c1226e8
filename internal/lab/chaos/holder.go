package chaos

import (
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of a lease holder.
const (
	leaseTTL      = 3 * time.Second
	renewEvery    = leaseTTL / 3
	orderEvery    = 400 * time.Millisecond
	maxOrderStall = 8 * time.Second
	// stallOdds is one in how many orders leaves late, as after a long pause.
	stallOdds = 25
	// lostAnswerOdds is one in how many batches is lost on the way.
	lostAnswerOdds = 4
	// leaseMargin is the share of a lease, one in so many, that its holder
	// leaves unused.
	leaseMargin = 8
)

// holder is a node that wants to coordinate the pool. While it holds the lease
// it sends orders to the back end and commits the batches that the trainer asks
// it for.
type holder struct {
	world  *World
	number int
	id     port.NodeID
	hint   consensus.MemberID

	epoch    port.Epoch // 0 while it holds nothing
	until    time.Duration
	sequence uint64
	ledger   port.LedgerState
	// last is the batch that it committed last, to serve again.
	last port.CommitBatch
}

func newHolder(world *World, number int) *holder {
	holder := &holder{world: world, number: number, id: port.NodeID(fmt.Sprintf("node-%d", number))}
	world.after(world.between(2*time.Second, 4*time.Second), holder.renew)
	world.after(world.between(4*time.Second, 5*time.Second), holder.order)
	return holder
}

// target gives the member to ask: the leader as far as known. The hint counts
// once; the answer renews it.
func (h *holder) target() *machine {
	machine := h.world.machine(h.hint)
	h.hint = consensus.None
	if machine != nil && !machine.gone {
		return machine
	}
	return h.world.anyMachine()
}

func (h *holder) holds() bool { return h.epoch != 0 && h.world.now < h.until }

// renew renews the lease, or tries to get it.
func (h *holder) renew() {
	h.world.after(renewEvery+h.world.between(0, renewEvery/2), h.renew)
	if !h.holds() {
		h.epoch = 0
	}
	sent, asked := h.world.now, h.epoch
	command := &port.Command{AcquireLease: &port.AcquireLease{
		Name: port.CoordinatorLease(poolName), Holder: h.id, TTL: leaseTTL, Epoch: asked,
	}}
	operation := &operation{kind: operationLease, client: firstHolder + h.number, holder: h.id, expectedEpoch: asked, call: sent}
	h.world.submit(h.target(), command, func(reply answer) {
		h.hint = reply.leader
		if reply.err != nil || h.epoch != asked {
			return
		}
		if reply.result.Error != nil {
			h.epoch = 0
			return
		}
		operation.finish(h.world.now, reply.result)
		h.world.history.add(operation)
		h.granted(*reply.result.Lease, sent)
	})
}

func (h *holder) granted(lease port.Lease, sent time.Duration) {
	if lease.Epoch != h.epoch {
		h.sequence, h.last = 0, port.CommitBatch{}
		h.world.tracef("holder %d has the lease under epoch %d", h.number, lease.Epoch)
	}
	h.epoch, h.until = lease.Epoch, sent+leaseTTL-leaseTTL/leaseMargin
}

// order sends a fenced order to the back end. Some stall on the way out, after
// the holder looked at its lease.
func (h *holder) order() {
	h.world.after(orderEvery, h.order)
	if !h.holds() {
		return
	}
	stall := time.Duration(0)
	if h.world.random.IntN(stallOdds) == 0 {
		stall = h.world.between(0, maxOrderStall)
	}
	fence := h.epoch
	h.world.network.carry(outside, outside, h.world.now+stall, func() { h.world.engine.take(fence, h.id) })
}

// serve answers the trainer's question for a batch. The last committed batch is
// served from memory while the lease lasts by the holder's own clock: nobody
// else can have voided it as long as the log grants no other holder the lease.
func (h *holder) serve(ask ask) {
	if !h.holds() {
		return
	}
	if h.last.Number == ask.number && h.last.ConsumerEpoch == ask.epoch {
		h.deliver(ask, h.last)
		return
	}
	command := h.compose(ask)
	command.ConsumerEpoch, command.Acknowledge = ask.epoch, ask.number-1
	h.world.submit(h.target(), &port.Command{CommitBatch: &command}, func(reply answer) {
		h.hint = reply.leader
		if reply.result.Ledger != nil {
			h.ledger = *reply.result.Ledger
		}
		if reply.err != nil {
			return
		}
		if reply.result.Error != nil {
			h.last = port.CommitBatch{}
			return
		}
		if h.epoch != command.CoordinatorEpoch {
			return
		}
		h.last = command
		h.deliver(ask, command)
	})
}

// deliver sends a batch to the trainer. The answer may be lost.
func (h *holder) deliver(ask ask, batch port.CommitBatch) {
	if h.world.random.IntN(lostAnswerOdds) == 0 {
		return
	}
	h.world.network.carry(outside, outside, h.world.now, func() { h.world.trainer.receive(ask, batch) })
}

// compose makes a batch from the prompts that are open as far as the holder
// knows.
func (h *holder) compose(ask ask) port.CommitBatch {
	command := port.CommitBatch{Pool: poolName, CoordinatorEpoch: h.epoch, Number: ask.number, Attempt: 1}
	var returned []port.PromptIndex
	if h.ledger.Committed == ask.number {
		command.Attempt = h.ledger.Attempt + 1
		for _, sample := range h.ledger.Last {
			returned = append(returned, sample.Prompt)
		}
	}
	for prompt := port.PromptIndex(0); len(command.Samples) < batchSamples; prompt++ {
		committed := prompt < h.ledger.PromptsBelow || slices.Contains(h.ledger.PromptsAbove, prompt)
		if committed && !slices.Contains(returned, prompt) {
			continue
		}
		if h.world.random.IntN(4) == 0 {
			continue // still being generated
		}
		command.Samples = append(command.Samples, h.group(prompt)...)
	}
	return command
}

// group makes the samples of one prompt, at times of an old version.
func (h *holder) group(prompt port.PromptIndex) []port.CommittedSample {
	samples := make([]port.CommittedSample, groupSize)
	for position := range samples {
		h.sequence++
		age := port.WeightVersion(h.world.random.IntN(3))
		samples[position] = port.CommittedSample{
			ID:     port.SampleID{Pool: poolName, Epoch: h.epoch, Sequence: h.sequence},
			Prompt: prompt,
			Oldest: max(h.world.trainer.version, age+1) - age,
		}
	}
	return samples
}

// engine is a back end that takes fenced orders.
type engine struct {
	world   *World
	highest port.Epoch
}

func (e *engine) take(fence port.Epoch, holder port.NodeID) {
	if fence < e.highest && e.world.options.Weakness != WeaknessIgnoreFence {
		return
	}
	e.world.audit.noteOrder(fence, holder)
	e.highest = max(e.highest, fence)
}
