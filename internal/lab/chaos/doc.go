// Package chaos is a deterministic simulator of the control members under
// faults.
//
// A World runs several control members, operators, lease holders, a trainer and
// observers in virtual time. The members are the real ones: controlmember over
// consensus and controlstate, with the real write-ahead log on a file system in
// memory that loses what was not synced. Network, clocks, crashes and disks
// fail as the scenario says, and every choice follows from the seed. Auditor
// checks invariants after each step; the operators' and holders' histories are
// checked for linearizability at the end.
//
// A Weakness takes one safeguard away, so that tests can show that the checks
// find its absence.
package chaos
