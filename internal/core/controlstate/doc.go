// Package controlstate is the replicated state machine of the control members.
//
// State applies the commands of the log in order: configuration changes, weight
// publications, leases, node registrations, consumers and batch commits. It is
// deterministic and bounded, knows no clock, and gives observers immutable
// views and the changes between them. Observer is the other end: it follows the
// updates of any member and never goes back.
//
// Log time is the highest Command.Time applied so far. It never goes back, so a
// leader whose clock is behind cannot revive an expired lease. It may jump ahead,
// since after an outage it must catch up at once; Command.TimeJump then says how
// much of the advance is a jump, and leases run on for as long.
package controlstate
