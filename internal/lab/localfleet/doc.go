// Package localfleet runs a whole fleet in one process over loopback TCP:
// control members with data folders, nodes, and the stand-ins of every system
// around them. The processes' own code runs unchanged; only the process border
// is missing.
//
// A Fleet starts from a Plan, which names the site's zones, replicas and
// trainers. Members, nodes and stand-ins can be killed, restarted and drained
// while it runs, and Audit judges the run by what the stand-ins saw.
package localfleet
