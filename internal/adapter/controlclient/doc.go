// Package controlclient is a node's client of the replicated control state. It prefers the
// nearest control member in contact with a quorum and fails over from others. It retries a
// proposal with the same change id, so that the proposal takes effect at most once.
package controlclient
