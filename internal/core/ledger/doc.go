// Package ledger holds the delivery state of the pools that feed a trainer:
// which batches and prompts are committed, which consumer is the current one,
// and which sample ids are spent.
//
// The ledger is part of the replicated control state, and therefore
// deterministic. It decides at a command's position in the log, against the
// weight version published there, so that "no delivered sample is older than
// the bound" holds exactly. Refusals are *port.Error values with verdict NotRun.
package ledger
