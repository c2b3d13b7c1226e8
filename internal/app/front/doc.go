// Package front is the process that callers reach: it passes requests through
// to the replicas of their route's service, untouched, and takes jobs for the
// store group.
//
// A request that is given up gets its final answer at once: 503 with a time to
// come back if it certainly did not run, 502 or 504 otherwise.
package front
