package coordinator

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// pendingCommit is the one proposal whose outcome is open.
type pendingCommit struct {
	changeID string
	batch    port.CommitBatch
	groups   []*group
	version  port.WeightVersion
	// began is when it was first sent, sent when it was last.
	began time.Time
	sent  time.Time
	// uncertain is set once an answer was lost: from then on only the log's own
	// answer tells the outcome, not a later failure to ask.
	uncertain bool
	// expired is set when the log keeps no answer to the change id any more: the
	// proposal cannot take effect now, and the ledger tells whether it did.
	expired bool
	resend  time.Time
	tries   int
}

// propose pins groups and proposes them as a batch.
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
		batch:    batch, groups: groups, version: c.version, began: c.now, sent: c.now,
	}
	c.emit(Commit{ChangeID: c.pending.changeID, Batch: batch})
}

// changeID names a proposal. Lease epochs are unique in the log, so no other
// coordinator makes the same one.
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
		c.commitStands(event.Result)
	case event.Err == nil:
		c.commitRefused(event.Result)
	case event.Err.Verdict == port.NotRun && !pending.uncertain:
		c.releasePending()
		c.delayCommit()
	default:
		pending.uncertain = true
		pending.tries++
		pending.resend = c.now.Add(backoff(c.config.Seed, c.commitCounter, pending.tries))
	}
}

// checkPending asks again, under the same change id, for an outcome in doubt.
func (c *Coordinator) checkPending() {
	pending := c.pending
	if pending == nil {
		return
	}
	if pending.expired {
		c.readLedger()
		return
	}
	if pending.resend.IsZero() && c.now.Sub(pending.sent) > c.timeouts.Commit {
		pending.uncertain = true
		pending.tries++
		pending.resend = c.now
	}
	if pending.resend.IsZero() || c.now.Before(pending.resend) {
		return
	}
	pending.sent, pending.resend = c.now, time.Time{}
	c.emit(Commit{ChangeID: pending.changeID, Batch: pending.batch})
}

// commitStands makes the pending batch the one to deliver.
func (c *Coordinator) commitStands(result port.Result) {
	pending := c.pending
	c.pending = nil
	c.vouch(pending.began)
	c.commitTries = 0
	c.counters.Committed++
	held := &heldBatch{
		number: pending.batch.Number, attempt: pending.batch.Attempt,
		version: max(pending.version, result.Current),
	}
	names := make([]string, 0, len(pending.batch.Samples))
	for index, g := range pending.groups {
		if index == 0 || g.oldest() < held.oldest {
			held.oldest = g.oldest()
		}
		held.prompts = append(held.prompts, g.prompt)
		for _, s := range g.samples {
			names = append(names, s.id.String())
			held.samples = append(held.samples, DeliveredSample{
				ID: s.id, Prompt: g.prompt, Text: s.text, Tokens: s.tokens, Reward: s.reward, Spans: s.spans,
			})
		}
		c.forgetGroup(g)
	}
	c.voidEarlier(held)
	c.held = held
	c.record(port.Decision{
		Kind: port.DecisionCommitted, Subject: batchName(c.config.Pool, held.number, held.attempt),
		Attempt: int(held.attempt), Version: held.version, Related: names,
		Detail: fmt.Sprintf("log index %d, oldest version %d", result.Index, held.oldest),
	})
	if result.Ledger != nil {
		c.takeLedger(*result.Ledger)
		return
	}
	c.takeLedger(c.ledgerAfter(pending.batch))
}

// voidEarlier gives the prompts of a voided attempt back to the queue.
func (c *Coordinator) voidEarlier(held *heldBatch) {
	if held.number != c.ledger.Committed {
		return
	}
	names := make([]string, 0, len(c.ledger.Last))
	for _, voided := range c.ledger.Last {
		names = append(names, voided.ID.String())
	}
	c.counters.Voided += uint64(len(names))
	c.record(port.Decision{
		Kind: port.DecisionVoided, Subject: batchName(c.config.Pool, held.number, c.ledger.Attempt),
		Attempt: int(c.ledger.Attempt), Related: names,
		Detail: "payload lost or over the staleness bound when it was asked for again",
	})
	if c.held == nil || c.held.number != held.number {
		return
	}
	for _, prompt := range c.held.prompts {
		c.prompts.pushFirst(prompt)
	}
}

// ledgerAfter gives the ledger state after a commit whose answer carried none.
func (c *Coordinator) ledgerAfter(batch port.CommitBatch) port.LedgerState {
	state := c.ledger
	above := make(map[port.PromptIndex]struct{}, len(c.prompts.above))
	for index := range c.prompts.above {
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

// commitRefused handles the log's refusal.
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
	c.learnFrom(result, pending)
}

// learnFrom takes over what a refusal says about the state of the pool.
func (c *Coordinator) learnFrom(result port.Result, pending *pendingCommit) {
	c.raiseVersion(result.Current)
	if result.Ledger != nil {
		c.takeLedger(*result.Ledger)
	}
	switch result.Error.Code {
	case port.CodeStale:
		c.raiseVersion(impliedVersion(pending.batch, c.config.Sampling.StalenessBound))
	case port.CodeFenced:
		if result.Ledger != nil && result.Ledger.Consumer.Epoch > pending.batch.ConsumerEpoch {
			return
		}
		if result.Ledger != nil {
			c.lose("a higher coordinator epoch exists")
			return
		}
		c.readLedger()
		c.delayCommit()
	case port.CodeConflict:
		// A sample or prompt of the batch cannot be committed any more and the
		// refusal names it only in words: all of them start again.
		for _, g := range pending.groups {
			if !g.gone {
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

// impliedVersion is the lowest published version at which the batch is too old.
func impliedVersion(batch port.CommitBatch, bound uint64) port.WeightVersion {
	oldest := batch.Samples[0].Oldest
	for _, committed := range batch.Samples {
		oldest = min(oldest, committed.Oldest)
	}
	return oldest + port.WeightVersion(bound) + 1
}

// shows says whether a ledger state holds exactly this batch as its last.
func shows(state port.LedgerState, batch port.CommitBatch) bool {
	return state.Committed == batch.Number && state.Attempt == batch.Attempt && slices.Equal(state.Last, batch.Samples)
}

// releasePending gives the groups of a proposal that does not stand back.
func (c *Coordinator) releasePending() {
	groups := c.pending.groups
	c.pending = nil
	for _, g := range groups {
		g.pinned = false
	}
	for _, g := range groups {
		for _, s := range slices.Clone(g.samples) {
			c.reviewAge(s)
		}
	}
}

// delayCommit waits before the next proposal.
func (c *Coordinator) delayCommit() {
	c.commitTries++
	c.commitAfter = c.now.Add(backoff(c.config.Seed, c.commitCounter, c.commitTries))
}

// readState is the one reading of the ledger that is out.
type readState struct {
	out  bool
	sent time.Time
}

// readLedger asks for the ledger's state, once at a time.
func (c *Coordinator) readLedger() {
	if c.reading.out {
		return
	}
	c.reading = readState{out: true, sent: c.now}
	c.emit(ReadLedger{})
}

// checkReading asks again when no answer came.
func (c *Coordinator) checkReading() {
	if c.reading.out && c.now.Sub(c.reading.sent) > c.timeouts.Read {
		c.reading.out = false
		c.readLedger()
	}
}

func (c *Coordinator) ledgerRead(event LedgerRead) {
	if event.Err != nil {
		return
	}
	c.reading.out = false
	c.raiseVersion(event.State.Published)
	if c.pending != nil && shows(event.State, c.pending.batch) {
		state := event.State
		c.commitStands(port.Result{Ledger: &state})
		return
	}
	if c.pending != nil && c.pending.expired {
		c.releasePending()
	}
	c.takeLedger(event.State)
	c.vouch(c.reading.sent)
}

// vouch notes the questions that came before a command went to the log that was
// answered now. What a trainer published before it asked is in that answer, and what
// anyone published before the command was sent.
func (c *Coordinator) vouch(sent time.Time) {
	c.versionAsOf = sent
	for index := range c.waiters {
		if !c.waiters[index].arrived.After(sent) {
			c.waiters[index].checked = true
		}
	}
}

// takeLedger takes a newer ledger state over; of an older one, the version alone.
func (c *Coordinator) takeLedger(state port.LedgerState) {
	c.raiseVersion(state.Published)
	if older(state, c.ledger) {
		return
	}
	if state.Consumer.Epoch > c.ledger.Consumer.Epoch {
		c.asked = 0
	}
	c.reconcile(state)
}

// older orders states of one pool's ledger as the log does.
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
