// Package nodestate is what one node knows, and what follows from it: the view
// of the control state, the live nodes of the zone, the homes of replicas, their
// load and health, what other homes and zones tell, and which machines leave.
//
// A State is a state machine: the time comes in with each call, and messages,
// decisions and new snapshots go out through Output. The node process calls it
// from its control goroutine, the simulator from virtual time.
package nodestate
