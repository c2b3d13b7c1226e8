// Package gate puts a mutex and channels around the pure gate of
// internal/core/gate, so that traffic goroutines can wait for a replica.
//
// The home node of engines has a gate for each engine pool over the replicas
// that it is the home of. Every node has a gate for each application pool over
// all replicas, since application calls go to the back ends directly.
package gate
