// Package gate makes internal/core/gate safe for concurrent use, and blocks the
// goroutine of a request until the request is granted a replica or refused.
//
// The home node of engines has a gate for each engine pool, with the replicas whose
// home it is. Every node has a gate for each application pool, with all replicas, since
// application calls are sent to the back ends directly.
package gate
