// Package front serves callers: it forwards requests to the replicas of their route's
// service and submits jobs to the store group.
//
// A request that fails for good is answered immediately: with 503 and a Retry-After if it
// certainly did not run, with 502 or 504 otherwise.
package front
