// Package gate admits requests to the replicas of one pool: it holds the exact
// count of requests in flight, an adaptive limit for each replica, one queue by
// priority, tenant and deadline, and the prefix index that the choice of
// replica uses.
//
// The home node of engines has a gate for each engine pool over the replicas
// that it is the home of. Every node has a gate for each application pool over
// all replicas, since application calls go to the back ends directly.
package gate
