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
	leaseTTL           = 3 * time.Second
	leaseRenewInterval = leaseTTL / 3
	orderInterval      = 400 * time.Millisecond
	maxOrderStall      = 8 * time.Second
	// stallOdds is the number of orders per delayed one; the delay simulates a long pause.
	stallOdds = 25
	// lostResponseOdds is the number of batch responses per lost one.
	lostResponseOdds = 4
	// leaseMargin is the divisor of the TTL for the final part of a lease, which its holder
	// does not use.
	leaseMargin = 8
)

// holder is a node that competes for the pool's coordinator lease. While it holds the
// lease it sends orders to the back end and commits the batches that the trainer
// requests.
type holder struct {
	world  *World
	number int
	id     port.NodeID
	hint   consensus.MemberID

	epoch    port.Epoch // 0 without a lease
	leaseEnd time.Duration
	sequence uint64
	ledger   port.LedgerState
	// lastBatch is the last batch that the holder committed, for repeated requests.
	lastBatch port.CommitBatch
}

func newHolder(world *World, number int) *holder {
	holder := &holder{world: world, number: number, id: port.NodeID(fmt.Sprintf("node-%d", number))}
	world.after(world.randomDuration(2*time.Second, 4*time.Second), holder.renew)
	world.after(world.randomDuration(4*time.Second, 5*time.Second), holder.sendOrder)
	return holder
}

// target returns the member to call: the hinted leader, or a random member without a hint.
// A hint is used once; the next response sets it again.
func (h *holder) target() *machine {
	machine := h.world.machine(h.hint)
	h.hint = consensus.None
	if machine != nil && !machine.lost {
		return machine
	}
	return h.world.anyMachine()
}

func (h *holder) holds() bool { return h.epoch != 0 && h.world.now < h.leaseEnd }

// renew renews or acquires the lease.
func (h *holder) renew() {
	h.world.after(leaseRenewInterval+h.world.randomDuration(0, leaseRenewInterval/2), h.renew)
	if !h.holds() {
		h.epoch = 0
	}
	sent, leaseEpoch := h.world.now, h.epoch
	command := &port.Command{AcquireLease: &port.AcquireLease{
		Name: port.CoordinatorLease(poolName), Holder: h.id, TTL: leaseTTL, Epoch: leaseEpoch,
	}}
	operation := &operation{kind: operationLease, client: firstHolder + h.number, holder: h.id, expectedEpoch: leaseEpoch, call: sent}
	h.world.submit(h.target(), command, func(reply response) {
		h.hint = reply.leader
		if reply.err != nil || h.epoch != leaseEpoch {
			return
		}
		if reply.result.Error != nil {
			h.epoch = 0
			return
		}
		operation.finish(h.world.now, reply.result)
		h.world.history.add(operation)
		h.applyLease(*reply.result.Lease, sent)
	})
}

func (h *holder) applyLease(lease port.Lease, sent time.Duration) {
	if lease.Epoch != h.epoch {
		h.sequence, h.lastBatch = 0, port.CommitBatch{}
		h.world.tracef("holder %d has the lease under epoch %d", h.number, lease.Epoch)
	}
	h.epoch, h.leaseEnd = lease.Epoch, sent+leaseTTL-leaseTTL/leaseMargin
}

// sendOrder sends a fenced order to the back end. Some orders are delayed after the holder
// checked its lease.
func (h *holder) sendOrder() {
	h.world.after(orderInterval, h.sendOrder)
	if !h.holds() {
		return
	}
	stall := time.Duration(0)
	if h.world.random.IntN(stallOdds) == 0 {
		stall = h.world.randomDuration(0, maxOrderStall)
	}
	fence := h.epoch
	h.world.network.send(outside, outside, h.world.now+stall, func() { h.world.engine.accept(fence, h.id) })
}

// serve handles the trainer's request for a batch. The holder serves the last committed
// batch from memory while its lease lasts by its own clock: another holder can void the
// batch only once the log grants it the lease.
func (h *holder) serve(request batchRequest) {
	if !h.holds() {
		return
	}
	if h.lastBatch.Number == request.number && h.lastBatch.ConsumerEpoch == request.epoch {
		h.deliver(request, h.lastBatch)
		return
	}
	command := h.buildBatch(request)
	command.ConsumerEpoch, command.Acknowledge = request.epoch, request.number-1
	h.world.submit(h.target(), &port.Command{CommitBatch: &command}, func(reply response) {
		h.hint = reply.leader
		if reply.result.Ledger != nil {
			h.ledger = *reply.result.Ledger
		}
		if reply.err != nil {
			return
		}
		if reply.result.Error != nil {
			h.lastBatch = port.CommitBatch{}
			return
		}
		if h.epoch != command.CoordinatorEpoch {
			return
		}
		h.lastBatch = command
		h.deliver(request, command)
	})
}

// deliver sends a batch to the trainer. The response may be lost.
func (h *holder) deliver(request batchRequest, batch port.CommitBatch) {
	if h.world.random.IntN(lostResponseOdds) == 0 {
		return
	}
	h.world.network.send(outside, outside, h.world.now, func() { h.world.trainer.receive(request, batch) })
}

// buildBatch builds a batch from prompts that are uncommitted in the holder's copy of the
// ledger.
func (h *holder) buildBatch(request batchRequest) port.CommitBatch {
	command := port.CommitBatch{Pool: poolName, CoordinatorEpoch: h.epoch, Number: request.number, Attempt: 1}
	var returned []port.PromptIndex
	if h.ledger.Committed == request.number {
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
		command.Samples = append(command.Samples, h.buildGroup(prompt)...)
	}
	return command
}

// buildGroup builds the samples of one prompt, some of an old version.
func (h *holder) buildGroup(prompt port.PromptIndex) []port.CommittedSample {
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

// engine is a back end that accepts fenced orders.
type engine struct {
	world   *World
	highest port.Epoch
}

func (e *engine) accept(fence port.Epoch, holder port.NodeID) {
	if fence < e.highest && e.world.options.Weakness != WeaknessIgnoreFence {
		return
	}
	e.world.audit.checkOrder(fence, holder)
	e.highest = max(e.highest, fence)
}
