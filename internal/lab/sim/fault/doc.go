// Package fault runs a small site in virtual time under faults and audits what the
// systems around loomgrade observed.
//
// Nodes are separate processes with the production decision code: nodestate, home,
// gate, placement, attempt, poolworker with coordinator and rollout. Control applies
// the real control state, with delays, outages and lost answers. Engines run the
// engine model. Connections break, processes crash and restart, zones are
// partitioned. Equal options give equal reports.
package fault
