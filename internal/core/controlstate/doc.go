// Package controlstate implements the replicated state machine of the control members.
//
// State applies the commands of the log in order: configuration changes, weight
// publications, leases, node registrations, consumers and batch commits. It is
// deterministic, limited in size and reads no clock. Observer follows the state
// through the updates of any member; its position never decreases.
//
// Log time is the highest Command.Time applied so far. It never decreases, so a
// leader with a slow clock cannot revive an expired lease. After an outage it jumps
// ahead; Command.TimeJump is the length of the jump, by which leases are extended.
package controlstate
