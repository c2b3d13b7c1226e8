package coordinator

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// pendingCommit is the proposal whose outcome is not known yet.
type pendingCommit struct {
	changeID string
	batch    port.CommitBatch
	groups   []*group
	version  port.WeightVersion
	// firstSent and lastSent are when the proposal was first and last sent.
	firstSent time.Time
	lastSent  time.Time
	// uncertain is set once an answer was lost. From then on only an answer of the log
	// decides the outcome; a later NotRun error does not.
	uncertain bool
	// expired is set when the log no longer has the answer for the change id: the proposal
	// cannot take effect any more, and the ledger shows whether it did.
	expired  bool
	resendAt time.Time
	tries    int
}

// propose pins the groups and proposes them as a batch.
func (c *Coordinator) propose(number port.BatchNumber, attempt uint32, groups []*group) {
	c.commitCounter++
	batch := port.CommitBatch{
		Pool: c.config.Pool, CoordinatorEpoch: c.config.Epoch, ConsumerEpoch: c.ledger.Consumer.Epoch,
		Number: number, Attempt: attempt, Acknowledge: number - 1,
	}
	for _, g := range groups {
		g.pinned = true
		for _, s := range g.samples {
			batch.Samples = append(batch.Samples, port.CommittedSample{
				ID: s.id, Prompt: g.prompt.Index, Oldest: port.OldestVersion(s.spans),
			})
		}
	}
	c.pending = &pendingCommit{
		changeID: c.changeID(),
		batch:    batch, groups: groups, version: c.version, firstSent: c.now, lastSent: c.now,
	}
	c.emit(Commit{ChangeID: c.pending.changeID, Batch: batch})
}

// changeID returns a unique id for a proposal. Lease epochs are unique in the log, so
// no other coordinator generates the same id.
func (c *Coordinator) changeID() string {
	unique := binary.BigEndian.AppendUint64(nil, uint64(c.config.Epoch))
	unique = binary.BigEndian.AppendUint64(unique, c.commitCounter)
	return registry.FormatChangeID(c.now, unique)
}

func (c *Coordinator) commitAnswered(event CommitAnswered) {
	pending := c.pending
	if pending == nil || event.ChangeID != pending.changeID {
		c.counters.Ignored++
		return
	}
	switch {
	case event.Err == nil && event.Result.Error == nil:
		c.commitSucceeded(event.Result)
	case event.Err == nil:
		c.commitRefused(event.Result)
	case event.Err.Verdict == port.NotRun && !pending.uncertain:
		c.releasePending()
		c.delayCommit()
	default:
		pending.uncertain = true
		pending.tries++
		pending.resendAt = c.now.Add(backoff(c.config.Seed, c.commitCounter, pending.tries))
	}
}

// checkPending resends a proposal of unknown outcome under the same change id.
func (c *Coordinator) checkPending() {
	pending := c.pending
	if pending == nil {
		return
	}
	if pending.expired {
		c.readLedger()
		return
	}
	if pending.resendAt.IsZero() && c.now.Sub(pending.lastSent) > c.timeouts.Commit {
		pending.uncertain = true
		pending.tries++
		pending.resendAt = c.now
	}
	if pending.resendAt.IsZero() || c.now.Before(pending.resendAt) {
		return
	}
	pending.lastSent, pending.resendAt = c.now, time.Time{}
	c.emit(Commit{ChangeID: pending.changeID, Batch: pending.batch})
}

// commitSucceeded stores the payload of the pending batch.
func (c *Coordinator) commitSucceeded(result port.Result) {
	pending := c.pending
	c.pending = nil
	c.confirmWaiters(pending.firstSent)
	c.commitTries = 0
	c.counters.Committed++
	stored := &storedBatch{
		number: pending.batch.Number, attempt: pending.batch.Attempt,
		version: max(pending.version, result.Current),
	}
	names := make([]string, 0, len(pending.batch.Samples))
	for index, g := range pending.groups {
		if index == 0 || g.oldest() < stored.oldest {
			stored.oldest = g.oldest()
		}
		stored.prompts = append(stored.prompts, g.prompt)
		for _, s := range g.samples {
			names = append(names, s.id.String())
			stored.samples = append(stored.samples, DeliveredSample{
				ID: s.id, Prompt: g.prompt, Text: s.text, Tokens: s.tokens, Reward: s.reward, Spans: s.spans,
			})
		}
		c.discardGroup(g)
	}
	c.voidPrevious(stored)
	c.stored = stored
	c.record(port.Decision{
		Kind: port.DecisionCommitted, Subject: batchName(c.config.Pool, stored.number, stored.attempt),
		Attempt: int(stored.attempt), Version: stored.version, Related: names,
		Detail: fmt.Sprintf("log index %d, oldest version %d", result.Index, stored.oldest),
	})
	if result.Ledger != nil {
		c.applyLedger(*result.Ledger)
		return
	}
	c.applyLedger(c.ledgerAfter(pending.batch))
}

// voidPrevious records the voided attempt and requeues its prompts.
func (c *Coordinator) voidPrevious(stored *storedBatch) {
	if stored.number != c.ledger.Committed {
		return
	}
	names := make([]string, 0, len(c.ledger.Last))
	for _, voided := range c.ledger.Last {
		names = append(names, voided.ID.String())
	}
	c.counters.Voided += uint64(len(names))
	c.record(port.Decision{
		Kind: port.DecisionVoided, Subject: batchName(c.config.Pool, stored.number, c.ledger.Attempt),
		Attempt: int(c.ledger.Attempt), Related: names,
		Detail: "payload lost or over the staleness bound when requested again",
	})
	if c.stored == nil || c.stored.number != stored.number {
		return
	}
	for _, prompt := range c.stored.prompts {
		c.prompts.requeue(prompt)
	}
}

// ledgerAfter computes the ledger state after a commit whose answer carried none.
func (c *Coordinator) ledgerAfter(batch port.CommitBatch) port.LedgerState {
	state := c.ledger
	above := make(map[port.PromptIndex]struct{}, len(c.prompts.committedAbove))
	for index := range c.prompts.committedAbove {
		above[index] = struct{}{}
	}
	if batch.Number == state.Committed {
		for _, voided := range state.Last {
			for index := voided.Prompt; index < state.PromptsBelow; index++ {
				above[index] = struct{}{}
			}
			state.PromptsBelow = min(state.PromptsBelow, voided.Prompt)
		}
		for _, voided := range state.Last {
			delete(above, voided.Prompt)
		}
	}
	for _, committed := range batch.Samples {
		above[committed.Prompt] = struct{}{}
	}
	for {
		if _, next := above[state.PromptsBelow]; !next {
			break
		}
		delete(above, state.PromptsBelow)
		state.PromptsBelow++
	}
	state.PromptsAbove = make([]port.PromptIndex, 0, len(above))
	for index := range above {
		state.PromptsAbove = append(state.PromptsAbove, index)
	}
	slices.Sort(state.PromptsAbove)
	state.Committed, state.Attempt = batch.Number, batch.Attempt
	state.Acknowledged, state.Last = batch.Acknowledge, batch.Samples
	return state
}

// commitRefused handles a proposal that the log refused.
func (c *Coordinator) commitRefused(result port.Result) {
	pending := c.pending
	c.record(port.Decision{
		Kind: port.DecisionRefused, Subject: batchName(c.config.Pool, pending.batch.Number, pending.batch.Attempt),
		Verdict: result.Error.Verdict, Code: result.Error.Code, Detail: result.Error.Message,
	})
	if result.Ledger == nil && result.Error.Code == port.CodeChangeExpired {
		pending.uncertain, pending.expired = true, true
		c.readLedger()
		return
	}
	c.releasePending()
	c.applyRefusal(result, pending)
}

// applyRefusal applies the state in a refusal and reacts to its error code.
func (c *Coordinator) applyRefusal(result port.Result, pending *pendingCommit) {
	c.raiseVersion(result.Current)
	if result.Ledger != nil {
		c.applyLedger(*result.Ledger)
	}
	switch result.Error.Code {
	case port.CodeStale:
		c.raiseVersion(impliedVersion(pending.batch, c.config.Sampling.StalenessBound))
	case port.CodeFenced:
		if result.Ledger != nil && result.Ledger.Consumer.Epoch > pending.batch.ConsumerEpoch {
			return
		}
		if result.Ledger != nil {
			c.loseLease("a higher coordinator epoch exists")
			return
		}
		c.readLedger()
		c.delayCommit()
	case port.CodeConflict:
		// A sample or prompt of the batch can no longer be committed, and the refusal
		// names it only in its message: restart all groups.
		for _, g := range pending.groups {
			if !g.discarded {
				c.requeueGroup(g)
			}
		}
		c.readLedger()
		c.delayCommit()
	default:
		c.readLedger()
		c.delayCommit()
	}
}

// impliedVersion returns the lowest published version under which the batch is stale.
func impliedVersion(batch port.CommitBatch, bound uint64) port.WeightVersion {
	oldest := batch.Samples[0].Oldest
	for _, committed := range batch.Samples {
		oldest = min(oldest, committed.Oldest)
	}
	return oldest + port.WeightVersion(bound) + 1
}

// holdsBatch reports whether the batch is the last one in a ledger state.
func holdsBatch(state port.LedgerState, batch port.CommitBatch) bool {
	return state.Committed == batch.Number && state.Attempt == batch.Attempt && slices.Equal(state.Last, batch.Samples)
}

// releasePending unpins the groups of a failed proposal.
func (c *Coordinator) releasePending() {
	groups := c.pending.groups
	c.pending = nil
	for _, g := range groups {
		g.pinned = false
	}
	for _, g := range groups {
		for _, s := range slices.Clone(g.samples) {
			c.checkAge(s)
		}
	}
}

// delayCommit delays the next proposal by a backoff.
func (c *Coordinator) delayCommit() {
	c.commitTries++
	c.commitAfter = c.now.Add(backoff(c.config.Seed, c.commitCounter, c.commitTries))
}

// readState tracks the outstanding ledger read.
type readState struct {
	outstanding bool
	sent        time.Time
}

// readLedger reads the ledger state unless a read is outstanding.
func (c *Coordinator) readLedger() {
	if c.reading.outstanding {
		return
	}
	c.reading = readState{outstanding: true, sent: c.now}
	c.emit(ReadLedger{})
}

// checkReading repeats a ledger read that timed out.
func (c *Coordinator) checkReading() {
	if c.reading.outstanding && c.now.Sub(c.reading.sent) > c.timeouts.Read {
		c.reading.outstanding = false
		c.readLedger()
	}
}

func (c *Coordinator) ledgerRead(event LedgerRead) {
	if event.Err != nil {
		return
	}
	c.reading.outstanding = false
	c.raiseVersion(event.State.Published)
	if c.pending != nil && holdsBatch(event.State, c.pending.batch) {
		state := event.State
		c.commitSucceeded(port.Result{Ledger: &state})
		return
	}
	if c.pending != nil && c.pending.expired {
		c.releasePending()
	}
	c.applyLedger(event.State)
	c.confirmWaiters(c.reading.sent)
}

// confirmWaiters marks the requests that arrived before the answered command or read
// was sent. Its answer reflects every publication before that time.
func (c *Coordinator) confirmWaiters(sent time.Time) {
	c.versionReadAt = sent
	for index := range c.waiters {
		if !c.waiters[index].arrived.After(sent) {
			c.waiters[index].confirmed = true
		}
	}
}

// applyLedger applies a ledger state; of an older one it only uses the version.
func (c *Coordinator) applyLedger(state port.LedgerState) {
	c.raiseVersion(state.Published)
	if older(state, c.ledger) {
		return
	}
	if state.Consumer.Epoch > c.ledger.Consumer.Epoch {
		c.highestRequested = 0
	}
	c.reconcile(state)
}

// older reports whether a ledger state precedes another in the log.
func older(state, than port.LedgerState) bool {
	if state.Consumer.Epoch != than.Consumer.Epoch {
		return state.Consumer.Epoch < than.Consumer.Epoch
	}
	if state.Committed != than.Committed {
		return state.Committed < than.Committed
	}
	if state.Attempt != than.Attempt {
		return state.Attempt < than.Attempt
	}
	return state.Acknowledged < than.Acknowledged
}
