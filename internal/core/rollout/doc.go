// Package rollout brings published weights onto the replicas of a pool. It
// stages a version in waves, so that the rate-limited weight store is not asked
// for everything at once, and then activates it on all replicas together.
//
// It is a pure state machine: Step takes the time and one Event and returns
// Actions. What a replica serves is always taken from its load reports, never
// from what it was ordered; a replica whose weights are in doubt is out of
// routing until a report made after the doubt arose says what it serves.
//
// Orders carry a fence, the epoch of a lease. Engines keep one highest fence, so
// all rollouts that share a set of engines, one for each adapter, must run under
// the lease of the pool that owns the engines. They share a StagingTurn as well,
// since an engine keeps few staged versions.
package rollout
