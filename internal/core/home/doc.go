// Package home keeps what the home node of a replica knows of it, and judges
// from that whether the replica takes requests: load reports that come late or
// out of order, polls that fail, health, the word of a weights rollout, and the
// machine list.
//
// Everything here is a state machine; the time comes in with each call.
package home
