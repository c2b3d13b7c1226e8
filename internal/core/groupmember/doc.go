// Package groupmember runs one member of a replicated group: the consensus state
// machine, a StateMachine on top of it, and the directory of the group's members, which
// may join, be replaced and leave at run time.
//
// It is the counterpart of package controlmember for groups whose members are not fixed
// in the settings. The caller calls Tick, Step, Propose, Read and ChangeMembership, and
// processes each Ready: it makes the writes durable, sends the messages, and calls
// Advance, which applies the committed entries. The package does no I/O.
package groupmember
