// Package controlmember drives one control member: the consensus state machine
// and the control state on top of it.
//
// The owner calls Tick, Step, Propose, Read and ChangeMembership, and carries
// out each Ready: it makes the writes durable, sends the messages, and calls
// Advance, which applies what was committed. Answers to proposals and reads
// come from TakeReplies. The package is pure, so that the real process and the
// fault simulator run the same code.
package controlmember
