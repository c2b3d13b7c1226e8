// Package nodestate implements the control state of one node: its view of the
// configuration, the live nodes of its zone, the homes of replicas with their load
// and health, the summaries of other nodes and zones, and the leaving machines.
//
// The home of a replica is the node that polls it and admits requests to it.
// A State is a state machine: each call takes the current time, and Flush returns
// the messages, decisions and snapshots to act on. The node process calls it from
// its control goroutine, the simulator in virtual time.
package nodestate
