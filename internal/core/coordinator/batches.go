package coordinator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// notReadyRetryAfter is when a trainer should ask again for a batch that is not
// whole yet.
const notReadyRetryAfter = time.Second

// redeliveryGrace is how long after a delivery no question voids the batch for
// being stale: a question sent at the same time as the answered one may come
// late, and the trainer may be using the batch already.
const redeliveryGrace = 5 * time.Second

// waiter is a question for a batch without an answer so far.
type waiter struct {
	token    uint64
	number   port.BatchNumber
	epoch    port.Epoch
	deadline time.Time
	arrived  time.Time
	// checked is set once a command that went to the log after the question came
	// was answered.
	checked bool
}

// heldBatch is the payload of the last committed batch.
type heldBatch struct {
	number  port.BatchNumber
	attempt uint32
	version port.WeightVersion
	oldest  port.WeightVersion
	samples []DeliveredSample
	prompts []port.Prompt
	// delivered is when it was last delivered, to the consumer epoch deliveredTo;
	// zero if it never was.
	delivered   time.Time
	deliveredTo port.Epoch
}

func (c *Coordinator) batchRequested(event BatchRequested) {
	c.planning.due = true
	c.waiters = append(c.waiters, waiter{
		token: event.Token, number: event.Number, epoch: event.ConsumerEpoch, deadline: event.Deadline,
		arrived: c.now,
	})
	if event.ConsumerEpoch == c.ledger.Consumer.Epoch && event.Number <= c.ledger.Committed+1 {
		c.asked = max(c.asked, event.Number)
	}
}

func (c *Coordinator) dropWaiter(token uint64) {
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool { return w.token == token })
}

// serveWaiters answers every question that can be answered and starts the
// commit that the others wait for.
func (c *Coordinator) serveWaiters() {
	if len(c.waiters) == 0 {
		return
	}
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		if !c.serve(w) {
			kept = append(kept, w)
		}
	}
	c.waiters = kept
	if c.pending == nil && len(c.waiters) > 0 {
		c.formBatch()
	}
}

// serve answers one question if it can.
func (c *Coordinator) serve(w waiter) (answered bool) {
	consumer := c.ledger.Consumer.Epoch
	if w.epoch > consumer {
		return c.serveUnknownConsumer(w)
	}
	if w.epoch < consumer {
		c.refuse(w.token, port.NotRun, port.CodeFenced, "consumer epoch %d is fenced off by %d", w.epoch, consumer)
		return true
	}
	if w.number <= c.ledger.Acknowledged || w.number < c.asked {
		c.refuse(w.token, port.NotRun, port.CodeFenced, "batch %d is acknowledged", w.number)
		return true
	}
	if w.number > c.ledger.Committed+1 {
		c.refuse(w.token, port.NotRun, port.CodeConflict, "batch %d is not the next one, %d is", w.number, c.ledger.Committed+1)
		return true
	}
	if c.heldFor(w.number) && c.pending == nil && c.leaseValid() {
		return c.serveHeld(w)
	}
	if c.heldStale(w) {
		c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d was delivered a moment ago and is stale by now", w.number)
		return true
	}
	if c.draining && c.pending == nil {
		c.refuse(w.token, port.NotRun, port.CodeDraining, "coordinator is stopping")
		return true
	}
	return false
}

// serveHeld delivers the held batch. A batch that was delivered before goes only to a
// question that an answer of the log vouches for: a version may have been published
// since its commit of which this node has not heard. The log cannot vouch for a
// question beside which another one got the batch. From then on the trainer may
// publish, and a state of the ledger can be from before that and come after it.
func (c *Coordinator) serveHeld(w waiter) (answered bool) {
	switch {
	case c.staleOnceUnderWay():
		c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d was delivered before, and a version is being published under which it is stale", w.number)
		return true
	case w.checked, c.held.delivered.IsZero():
		c.deliver(w)
		return true
	case c.deliveredBeside(w):
		c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d was delivered to another question that waited beside this one", w.number)
		return true
	default:
		c.readLedger()
		return false
	}
}

// staleOnceUnderWay says whether the batch was delivered before and is too old under a
// version that is being published. Who publishes it may go on as soon as the log has it, which
// is before the log's next answer says so here. A first delivery is not held back: its commit
// stands, and no trainer has gone on from it.
func (c *Coordinator) staleOnceUnderWay() bool {
	newest := c.underWay.newest(c.version, c.now)
	return !c.held.delivered.IsZero() && ageAt(newest, c.held.oldest) > c.config.Sampling.StalenessBound
}

// deliveredBeside says whether the consumer got the batch by another question while
// this one waited.
func (c *Coordinator) deliveredBeside(w waiter) bool {
	held := c.held
	return held.deliveredTo == w.epoch && !held.delivered.Before(w.arrived)
}

// serveUnknownConsumer handles a consumer newer than the known ledger state:
// it counts only once the ledger confirms it.
func (c *Coordinator) serveUnknownConsumer(w waiter) (answered bool) {
	if w.checked {
		c.refuse(w.token, port.NotRun, port.CodeInvalid, "consumer epoch %d is not registered", w.epoch)
		return true
	}
	c.readLedger()
	return false
}

// heldFor says whether the payload of a batch is at hand and fresh enough to be
// delivered again.
func (c *Coordinator) heldFor(number port.BatchNumber) bool {
	held := c.held
	if held == nil || held.number != number || number != c.ledger.Committed {
		return false
	}
	return c.age(held.oldest) <= c.config.Sampling.StalenessBound
}

// heldStale says whether a question came so soon after the batch was delivered
// that it must not void it.
func (c *Coordinator) heldStale(w waiter) bool {
	held := c.held
	if held == nil || held.number != w.number || held.delivered.IsZero() || c.pending != nil {
		return false
	}
	return !c.heldFor(w.number) && w.arrived.Before(held.delivered.Add(redeliveryGrace))
}

// deliver answers a question with the held batch.
func (c *Coordinator) deliver(w waiter) {
	held := c.held
	held.delivered, held.deliveredTo = c.now, w.epoch
	c.counters.Delivered++
	c.emit(Deliver{
		Token: w.token, Number: held.number, Attempt: held.attempt,
		TrainerVersion: held.version, Samples: held.samples,
	})
	c.record(port.Decision{
		Kind: port.DecisionDelivered, Subject: batchName(c.config.Pool, held.number, held.attempt),
		Attempt: int(held.attempt), Version: held.version,
		Detail: fmt.Sprintf("%d samples to consumer epoch %d, oldest version %d; version %d is known as of %v ago; asked %v ago",
			len(held.samples), w.epoch, held.oldest, c.version, c.now.Sub(c.versionAsOf), c.now.Sub(w.arrived)),
	})
}

// refuse answers a question with an error.
func (c *Coordinator) refuse(token uint64, verdict port.Verdict, code port.Code, format string, arguments ...any) {
	err := port.NewError(verdict, code, format, arguments...)
	if code == port.CodeNotReady || code == port.CodeDraining || code == port.CodeUnavailable {
		err.RetryAfter = notReadyRetryAfter
	}
	c.emit(Refuse{Token: token, Err: err})
}

// expireWaiters answers questions whose time is up.
func (c *Coordinator) expireWaiters() {
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		if c.now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		c.refuseLate(w)
	}
	c.waiters = kept
}

func (c *Coordinator) refuseLate(w waiter) {
	if !c.leaseValid() {
		c.refuse(w.token, port.NotRun, port.CodeUnavailable, "the pool's lease is not confirmed")
		return
	}
	c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d is not whole yet", w.number)
}

// formBatch proposes the batch that the trainer asks for, if enough whole groups
// are within the bound.
func (c *Coordinator) formBatch() {
	number, wanted := c.wantedNumber()
	if !wanted || c.draining || !c.leaseValid() || c.now.Before(c.commitAfter) {
		return
	}
	groups := c.selectGroups()
	if groups == nil {
		return
	}
	attempt := uint32(1)
	if number == c.ledger.Committed {
		attempt = c.ledger.Attempt + 1
	}
	c.propose(number, attempt, groups)
}

// wantedNumber gives the batch that waiting questions need committed.
func (c *Coordinator) wantedNumber() (port.BatchNumber, bool) {
	for _, w := range c.waiters {
		if w.epoch == c.ledger.Consumer.Epoch && w.number > c.ledger.Acknowledged && !c.heldFor(w.number) {
			return w.number, true
		}
	}
	return 0, false
}

// selectGroups picks whole groups for a batch in the plan's order; nil when
// there are too few.
func (c *Coordinator) selectGroups() []*group {
	wanted := c.config.Sampling.BatchSamples / c.config.Sampling.GroupSize
	candidates := make([]*group, 0, wanted)
	for _, g := range c.order {
		if c.ready(g) {
			candidates = append(candidates, g)
		}
	}
	if len(candidates) < wanted {
		return nil
	}
	freshest := c.planning.plan.Selection == policy.SelectFreshest
	slices.SortStableFunc(candidates, func(a, b *group) int {
		if a.starved() != b.starved() {
			return cmp.Compare(b.drops, a.drops)
		}
		if order := cmp.Compare(a.oldest(), b.oldest()); order != 0 && freshest {
			return -order
		} else if order != 0 {
			return order
		}
		return cmp.Compare(a.prompt.Index, b.prompt.Index)
	})
	if c.promptsAboveWith(candidates[:wanted]) <= ledger.MaxPromptsAbove {
		return candidates[:wanted]
	}
	// Too many prompts beyond the lowest open one: the lowest go first.
	slices.SortFunc(candidates, func(a, b *group) int { return cmp.Compare(a.prompt.Index, b.prompt.Index) })
	if c.promptsAboveWith(candidates[:wanted]) <= max(ledger.MaxPromptsAbove, len(c.prompts.above)) {
		return candidates[:wanted]
	}
	return nil
}

// promptsAboveWith counts the committed prompts beyond the lowest open one as
// they would be after a commit of the groups.
func (c *Coordinator) promptsAboveWith(groups []*group) int {
	count := len(c.prompts.above) + len(groups)
	if count <= ledger.MaxPromptsAbove {
		return count
	}
	added := make(map[port.PromptIndex]struct{}, len(groups))
	for _, g := range groups {
		added[g.prompt.Index] = struct{}{}
	}
	for index := c.prompts.below; ; index++ {
		if _, selected := added[index]; !selected && !c.prompts.committed(index) {
			return count
		}
		count--
	}
}

// starvedDrops is how many samples a group may lose to staleness before it goes
// ahead of the plan's order; otherwise one that is always passed over would be
// generated again for ever.
const starvedDrops = 4

func (g *group) starved() bool { return g.drops >= starvedDrops }

// oldest gives the oldest version of a whole group's samples.
func (g *group) oldest() port.WeightVersion {
	oldest := port.OldestVersion(g.samples[0].spans)
	for _, s := range g.samples[1:] {
		oldest = min(oldest, port.OldestVersion(s.spans))
	}
	return oldest
}

// batchName is the subject of decisions on a batch.
func batchName(pool port.PoolName, number port.BatchNumber, attempt uint32) string {
	return fmt.Sprintf("b-%s-%d-%d", pool, number, attempt)
}
