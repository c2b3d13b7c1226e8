// Package gate decides which requests run on the replicas of one pool, and
// when: it holds the exact count of requests in flight, an adaptive limit for
// each replica, one queue by priority, tenant and deadline, and the prefix
// index that the choice of replica uses.
//
// A Gate is a state machine: the time comes in with each call, random numbers
// from the source that it was made with, and each call gives back the tickets
// that it settled. A node puts a mutex and channels around it; the simulator
// calls it in virtual time.
package gate
