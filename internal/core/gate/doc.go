// Package gate decides which requests run on the replicas of one pool, and when.
// It counts the requests in flight and adapts a concurrency limit per replica, and
// maintains one queue ordered by priority, tenant and deadline and the prefix index
// used to choose a replica.
//
// A Gate is a state machine: each call takes the current time and returns the
// tickets that it resolved, that is granted or refused. Random numbers come from the
// source passed to New. A node adds a mutex and channels; the simulator calls the
// gate in virtual time.
package gate
