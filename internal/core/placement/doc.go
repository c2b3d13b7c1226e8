// Package placement chooses, at the node that accepted a request, a replica of its zone or
// another zone. The replica's home node makes the final decision; see package gate.
package placement
