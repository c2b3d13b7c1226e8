// Package controlclient is a node's way to the replicated control state. It
// keeps to the nearest control member that is in touch with a quorum, moves on
// from one that is not, and repeats a proposal whose answer was lost under the
// same change id, so that the proposal takes effect at most once.
package controlclient
