// Package home implements the state that the home node of a replica stores for it, and
// derives from it whether the replica can accept requests: load reports, which may arrive
// late or out of order, failed polls, health, exclusions by a weights rollout, and the
// machine list.
//
// Everything here is a state machine; each call takes the current time.
package home
