// Package coordinator schedules sample generation and batch delivery for one
// rollout pool. A coordinator holds the pool's fenced lease. It fetches prompts,
// starts and scores samples, and serves the trainer's requests for numbered batches.
//
// It is a pure state machine: Step takes the time and one Event and returns the
// Actions to carry out. The caller carries out actions in order, feeds their
// outcomes back as events, and may lose, delay or repeat any of them. The caller
// sends a Tick several times a second to drive retries, deadlines and the policy
// program.
//
// Invariants:
//   - a batch is delivered only after its commit is known to be in the log;
//   - a repeated request for a batch returns the same payload, or a new attempt
//     whose commit voids the earlier one; there are never two valid payloads;
//   - no prompt is lost: each is committed, queued, being fetched or in progress;
//   - a batch consists of complete groups of samples within the staleness bound.
//
// A new coordinator recovers from the ledger state alone.
package coordinator
