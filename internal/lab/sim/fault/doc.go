// Package fault runs a small site in virtual time under faults and lets the
// audit judge what the systems around loomgrade saw.
//
// Nodes are separate processes here, with the decision code of the real ones:
// nodestate, home, gate, placement, attempt, poolworker with coordinator and
// rollout. Control applies the real control state, with delays, outages and lost
// answers. Engines run the engine model. Connections are cut, processes die and
// come back, zones are cut off. Equal options give equal reports.
package fault
