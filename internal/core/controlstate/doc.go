// Package controlstate is the replicated state machine of the control members.
//
// State applies the commands of the log in order: configuration changes, weight
// publications, leases, node registrations, consumers and batch commits. It is
// deterministic and bounded, knows no clock, and gives observers immutable
// views and the changes between them. Observer is the other end: it follows the
// updates of any member and never goes back.
//
// Log time is the highest Command.Time applied so far. It never goes back, so a
// leader whose clock is behind cannot revive an expired lease. A jump ahead is
// not limited here, since after an outage the time must catch up at once; the
// leader limits it when it stamps commands, and a jump that comes through costs
// leases their remaining time but breaks no fence.
package controlstate
