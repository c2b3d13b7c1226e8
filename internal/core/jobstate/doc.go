// Package jobstate is the replicated state of jobs: sets of items that are accepted together
// and run afterwards. It stores each item's request, the text generated so far with the weight
// versions that generated it, failures, and results at positions that never change.
//
// The runner of the items proposes Records. A record's text is appended only if it starts where
// the stored text ends, so that a replaced runner cannot add to its successor's text. The
// package does no I/O.
package jobstate
