// Package controlmember implements one control member: the consensus state machine and
// the control state on top of it.
//
// The caller calls Tick, Step, Propose, Read and ChangeMembership, and processes each
// Ready: it makes the writes durable, sends the messages and calls Advance, which
// applies the committed entries. TakeReplies returns the results of proposals and
// reads. The package does no I/O, so that the process and the fault simulator run the
// same code.
package controlmember
