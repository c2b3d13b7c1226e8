// Package localfleet runs a complete fleet in one process over loopback TCP: control
// members with data folders, nodes, and stand-ins for every external system. It runs
// the same code as the real processes.
//
// A Fleet is started from a Plan, which lists the site's zones, replicas and trainers.
// Members, nodes and stand-ins can be killed, restarted and drained while it runs.
// Audit checks what the stand-ins and callers observed.
package localfleet
