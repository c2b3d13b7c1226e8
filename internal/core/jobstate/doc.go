// Package jobstate is the replicated state of jobs: sets of items that were
// accepted together and run afterwards. It holds every item's request, the text
// that was generated so far with the weight versions that made it, failures, and
// results at positions that never change.
//
// Whoever runs items proposes a Record of what happened; the text of a record
// counts only if it begins where the held text ends, so that a runner that was
// replaced cannot add to what its successor wrote. The package is pure.
package jobstate
