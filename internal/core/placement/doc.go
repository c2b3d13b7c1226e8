// Package placement chooses, at the node that accepted a request, which replica
// of the own zone or which other zone gets it. The home that is asked decides in
// the end; see package gate.
package placement
