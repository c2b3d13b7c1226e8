// Package fleet runs a whole fleet in one process and in virtual time: hollow
// nodes and replicas around the real core and the real encoded messages.
//
// Control members are controlmember.Member over a write-ahead log on an
// in-memory disk. Nodes hold a controlstate.Observer, a membership.Detector and
// the tables of summaries and aggregates; the holder of a pool's lease runs the
// coordinator and the rollout of its weights. Engines and trainers are counted
// models. Each message between processes is encoded by the wire package, counted
// with its frame, and decoded by its receiver.
//
// One goroutine runs all processes, so that equal seeds give equal counts. The
// time that it spends inside a process is charged to that process.
package fleet
