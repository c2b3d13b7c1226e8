// Package ledger holds the delivery state of the pools that feed a trainer: the
// committed batches and prompts, the current consumer, and the used sample ids.
//
// The ledger is part of the replicated control state and therefore deterministic. It
// checks a commit against the weight version published at the command's position in the
// log, so that no committed sample exceeds the staleness bound. Refusals are *port.Error
// values with verdict NotRun.
package ledger
