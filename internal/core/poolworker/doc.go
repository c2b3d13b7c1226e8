// Package poolworker coordinates one pool at one node: it seeks the pool's lease,
// reads the delivery state under it, drives the coordinator and the weights
// rollouts while the lease lasts, and gives it back or stops when it is lost.
//
// A Worker is a state machine: the time, the view and the outcomes of actions
// come in as calls, and each call gives back the actions to carry out.
package poolworker
