// Package poolworker coordinates one pool at one node: it acquires the pool's lease,
// reads the delivery state under it, and runs the coordinator and the weight rollouts
// until the lease is released or lost.
//
// A Worker is a state machine: the caller passes in the time, the view and the results
// of actions, and each call returns the actions to carry out.
package poolworker
