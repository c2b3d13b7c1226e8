// Package coordinator decides what one rollout pool generates and delivers. A
// coordinator holds the pool's fenced lease; it fetches prompts, starts and
// scores samples, and answers the trainer's numbered questions for batches.
//
// It is a pure state machine: Step takes the time and one Event and returns the
// Actions to carry out. The caller carries actions out in order, feeds their
// outcomes back as events, and may lose, delay or repeat any of them. A Tick a
// few times a second drives retries, deadlines and the policy program.
//
// Promises, each held whatever the outcomes:
//   - a batch's bytes leave only after its commit is known to stand in the log;
//   - asking for a batch again gives the same payload, or a new attempt whose
//     commit voids the earlier one, never two valid payloads;
//   - no prompt is lost: each is committed, queued, being fetched or worked on;
//   - a batch holds whole groups of samples within the staleness bound.
//
// A coordinator that replaces another starts from the ledger state alone.
package coordinator
