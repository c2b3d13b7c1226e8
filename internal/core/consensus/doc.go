// Package consensus implements the Raft consensus algorithm as a state machine without I/O.
//
// It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm" (2014), and Ongaro's dissertation "Consensus: Bridging Theory and
// Practice" (2014) for pre-vote, check-quorum, leader leases, learners,
// leadership transfer and one-at-a-time membership changes.
//
// A Node has no clock, storage, network or goroutine of its own. Its owner
//
//   - calls Tick once per tick of a monotonic clock; if ticks passed while the owner
//     did not run, it calls TickMissed and then Tick before any other method, except
//     AnswerHeartbeat and HeartbeatsDuringWrite;
//   - passes received messages to Step and commands to Propose;
//   - while HasReady, calls Ready, makes its HardState, Snapshot and Entries
//     durable, then sends its Messages, applies its Committed entries and
//     calls Advance. One Ready is outstanding at a time.
//
// A Node is not safe for concurrent use. The log since the last snapshot is
// held in memory.
package consensus
