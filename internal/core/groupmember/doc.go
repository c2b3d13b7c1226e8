// Package groupmember drives one member of a replicated group: the consensus
// state machine, any StateMachine on top of it, and the directory of the
// group's members, which join, are replaced and leave while it works.
//
// It is to groups whose members find each other what package controlmember is
// to a control group whose members stand in settings. The owner calls Tick,
// Step, Propose, Read and ChangeMembership, and carries out each Ready: it
// makes the writes durable, sends the messages, and calls Advance, which
// applies what was committed. The package is pure.
package groupmember
