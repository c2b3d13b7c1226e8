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

// notReadyRetryAfter is the RetryAfter hint of refusals that a retry may resolve.
const notReadyRetryAfter = time.Second

// redeliveryGrace is the time after a delivery during which a request for the same batch
// does not void the batch as stale: a duplicate of the answered request may arrive late,
// while the trainer is already using the batch.
const redeliveryGrace = 5 * time.Second

// waiter is a pending request for a batch.
type waiter struct {
	token    uint64
	number   port.BatchNumber
	epoch    port.Epoch
	deadline time.Time
	arrived  time.Time
	// confirmed is set once the log has answered a command or read that was sent after
	// the request arrived.
	confirmed bool
}

// storedBatch is the payload of the last committed batch.
type storedBatch struct {
	number  port.BatchNumber
	attempt uint32
	version port.WeightVersion
	oldest  port.WeightVersion
	samples []DeliveredSample
	prompts []port.Prompt
	// delivered is the time of the last delivery, zero if there was none; deliveredTo
	// is the consumer epoch that received it.
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
		c.highestRequested = max(c.highestRequested, event.Number)
	}
}

func (c *Coordinator) dropWaiter(token uint64) {
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool { return w.token == token })
}

// serveWaiters answers the requests that can be answered and proposes a batch for the
// others.
func (c *Coordinator) serveWaiters() {
	if len(c.waiters) == 0 {
		return
	}
	remaining := c.waiters[:0]
	for _, w := range c.waiters {
		if !c.serve(w) {
			remaining = append(remaining, w)
		}
	}
	c.waiters = remaining
	if c.pending == nil && len(c.waiters) > 0 {
		c.formBatch()
	}
}

// serve answers one request if possible.
func (c *Coordinator) serve(w waiter) (answered bool) {
	consumer := c.ledger.Consumer.Epoch
	if w.epoch > consumer {
		return c.serveUnknownConsumer(w)
	}
	if w.epoch < consumer {
		c.refuse(w.token, port.NotRun, port.CodeFenced, "consumer epoch %d is fenced off by %d", w.epoch, consumer)
		return true
	}
	if w.number <= c.ledger.Acknowledged || w.number < c.highestRequested {
		c.refuse(w.token, port.NotRun, port.CodeFenced, "batch %d is acknowledged", w.number)
		return true
	}
	if w.number > c.ledger.Committed+1 {
		c.refuse(w.token, port.NotRun, port.CodeConflict, "batch %d is not the next one, %d is", w.number, c.ledger.Committed+1)
		return true
	}
	if c.canDeliver(w.number) && c.pending == nil && c.leaseValid() {
		return c.serveStored(w)
	}
	if c.staleAfterDelivery(w) {
		c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d was just delivered and is now stale", w.number)
		return true
	}
	if c.draining && c.pending == nil {
		c.refuse(w.token, port.NotRun, port.CodeDraining, "coordinator is stopping")
		return true
	}
	return false
}

// serveStored delivers the stored batch. Of the requests that wait for it at the same
// time, one gets it: from then on the trainer may publish, and a second copy, once sent,
// could reach it after the publication. A batch that was delivered before is delivered
// again only to a confirmed request, since this node may not have seen a version
// published after the commit.
func (c *Coordinator) serveStored(w waiter) (answered bool) {
	switch {
	case c.staleUnderPendingPublication():
		c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d was delivered before and is stale under the version being published", w.number)
		return true
	case c.deliveredWhileWaiting(w):
		c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d was delivered to another request while this one was waiting", w.number)
		return true
	case w.confirmed, c.stored.delivered.IsZero():
		c.deliver(w)
		return true
	default:
		c.readLedger()
		return false
	}
}

// staleUnderPendingPublication reports whether the batch was delivered before and is
// stale under a version that is being published. The publisher may continue as soon as
// the log has the version, which is before this node learns of it. A first delivery is
// not delayed: no trainer has used the batch yet.
func (c *Coordinator) staleUnderPendingPublication() bool {
	newest := c.pendingPublication.highestVersion(c.version, c.now)
	return !c.stored.delivered.IsZero() && ageAt(newest, c.stored.oldest) > c.config.Sampling.StalenessBound
}

// deliveredWhileWaiting reports whether the consumer received the batch through
// another request while this one was waiting.
func (c *Coordinator) deliveredWhileWaiting(w waiter) bool {
	stored := c.stored
	return stored.deliveredTo == w.epoch && !stored.delivered.Before(w.arrived)
}

// serveUnknownConsumer handles a request with a consumer epoch above that of the ledger
// state; a ledger read must confirm the epoch first.
func (c *Coordinator) serveUnknownConsumer(w waiter) (answered bool) {
	if w.confirmed {
		c.refuse(w.token, port.NotRun, port.CodeInvalid, "consumer epoch %d is not registered", w.epoch)
		return true
	}
	c.readLedger()
	return false
}

// canDeliver reports whether the payload of a batch is stored and within the staleness
// bound.
func (c *Coordinator) canDeliver(number port.BatchNumber) bool {
	stored := c.stored
	if stored == nil || stored.number != number || number != c.ledger.Committed {
		return false
	}
	return c.age(stored.oldest) <= c.config.Sampling.StalenessBound
}

// staleAfterDelivery reports whether the stored batch is stale and the request arrived
// too soon after its delivery to void it.
func (c *Coordinator) staleAfterDelivery(w waiter) bool {
	stored := c.stored
	if stored == nil || stored.number != w.number || stored.delivered.IsZero() || c.pending != nil {
		return false
	}
	return !c.canDeliver(w.number) && w.arrived.Before(stored.delivered.Add(redeliveryGrace))
}

// deliver answers a request with the stored batch.
func (c *Coordinator) deliver(w waiter) {
	stored := c.stored
	stored.delivered, stored.deliveredTo = c.now, w.epoch
	c.counters.Delivered++
	c.emit(Deliver{
		Token: w.token, Number: stored.number, Attempt: stored.attempt,
		TrainerVersion: stored.version, Samples: stored.samples,
	})
	c.record(port.Decision{
		Kind: port.DecisionDelivered, Subject: batchName(c.config.Pool, stored.number, stored.attempt),
		Attempt: int(stored.attempt), Version: stored.version,
		Detail: fmt.Sprintf("%d samples to consumer epoch %d, oldest version %d; version %d read %v ago; requested %v ago",
			len(stored.samples), w.epoch, stored.oldest, c.version, c.now.Sub(c.versionReadAt), c.now.Sub(w.arrived)),
	})
}

// refuse answers a request with an error.
func (c *Coordinator) refuse(token uint64, verdict port.Verdict, code port.Code, format string, arguments ...any) {
	err := port.NewError(verdict, code, format, arguments...)
	if code == port.CodeNotReady || code == port.CodeDraining || code == port.CodeUnavailable {
		err.RetryAfter = notReadyRetryAfter
	}
	c.emit(Refuse{Token: token, Err: err})
}

// expireWaiters answers requests whose deadline has passed.
func (c *Coordinator) expireWaiters() {
	remaining := c.waiters[:0]
	for _, w := range c.waiters {
		if c.now.Before(w.deadline) {
			remaining = append(remaining, w)
			continue
		}
		c.refuseExpired(w)
	}
	c.waiters = remaining
}

func (c *Coordinator) refuseExpired(w waiter) {
	if !c.leaseValid() {
		c.refuse(w.token, port.NotRun, port.CodeUnavailable, "the pool's lease is not confirmed")
		return
	}
	c.refuse(w.token, port.NotRun, port.CodeNotReady, "batch %d is not complete yet", w.number)
}

// formBatch proposes the requested batch if enough complete groups are within the
// staleness bound.
func (c *Coordinator) formBatch() {
	number, found := c.requestedNumber()
	if !found || c.draining || !c.leaseValid() || c.now.Before(c.commitAfter) {
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

// requestedNumber returns the batch number that must be committed for the waiting requests.
func (c *Coordinator) requestedNumber() (port.BatchNumber, bool) {
	for _, w := range c.waiters {
		if w.epoch == c.ledger.Consumer.Epoch && w.number > c.ledger.Acknowledged && !c.canDeliver(w.number) {
			return w.number, true
		}
	}
	return 0, false
}

// selectGroups returns complete groups for a batch in the plan's order, or nil if there
// are too few.
func (c *Coordinator) selectGroups() []*group {
	count := c.config.Sampling.BatchSamples / c.config.Sampling.GroupSize
	candidates := make([]*group, 0, count)
	for _, g := range c.order {
		if c.ready(g) {
			candidates = append(candidates, g)
		}
	}
	if len(candidates) < count {
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
	if c.committedAboveAfter(candidates[:count]) <= ledger.MaxPromptsAbove {
		return candidates[:count]
	}
	// Too many prompts would be committed above the lowest open one: select the lowest first.
	slices.SortFunc(candidates, func(a, b *group) int { return cmp.Compare(a.prompt.Index, b.prompt.Index) })
	if c.committedAboveAfter(candidates[:count]) <= max(ledger.MaxPromptsAbove, len(c.prompts.committedAbove)) {
		return candidates[:count]
	}
	return nil
}

// committedAboveAfter counts the prompts committed above the lowest open one after a
// commit of the groups.
func (c *Coordinator) committedAboveAfter(groups []*group) int {
	count := len(c.prompts.committedAbove) + len(groups)
	if count <= ledger.MaxPromptsAbove {
		return count
	}
	added := make(map[port.PromptIndex]struct{}, len(groups))
	for _, g := range groups {
		added[g.prompt.Index] = struct{}{}
	}
	for index := c.prompts.committedBelow; ; index++ {
		if _, selected := added[index]; !selected && !c.prompts.committed(index) {
			return count
		}
		count--
	}
}

// starvationDrops is how many samples a group may lose to staleness before it takes
// precedence over the plan's order; otherwise a group that is never selected would be
// regenerated forever.
const starvationDrops = 4

func (g *group) starved() bool { return g.drops >= starvationDrops }

// oldest returns the oldest version of a complete group's samples.
func (g *group) oldest() port.WeightVersion {
	oldest := port.OldestVersion(g.samples[0].spans)
	for _, s := range g.samples[1:] {
		oldest = min(oldest, port.OldestVersion(s.spans))
	}
	return oldest
}

// batchName returns the decision subject for a batch.
func batchName(pool port.PoolName, number port.BatchNumber, attempt uint32) string {
	return fmt.Sprintf("b-%s-%d-%d", pool, number, attempt)
}
