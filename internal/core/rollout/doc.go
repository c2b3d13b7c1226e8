// Package rollout loads published weights onto the replicas of a pool. It stages a
// version in waves, since the weight store is rate-limited, and then activates it on
// all replicas together.
//
// It is a pure state machine: Step takes the time and one Event and returns Actions.
// It learns the version that a replica serves only from load reports, never from the
// orders sent to the replica. A replica whose version is unknown is excluded from
// routing until a later report contains its version.
//
// Orders carry a fence, the epoch of a lease. Engines store a single highest fence, so
// all rollouts on the same engines, one per adapter, must run under the lease of the
// pool that owns the engines. They also share a StagingLock, since an engine stores only
// a few staged versions.
package rollout
