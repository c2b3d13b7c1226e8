// Package chaos is a deterministic simulator of the control members under
// faults.
//
// A World runs several control members, operators, lease holders, a trainer and
// observers in virtual time. The members run the production code: controlmember over
// consensus and controlstate, with the write-ahead log on an in-memory file system that
// loses unsynced writes. The scenario defines how network, clocks, processes and disks fail;
// the seed determines every random choice. Auditor checks invariants after each
// step; the histories of operators and holders are checked for linearizability at the
// end.
//
// A Weakness disables one safeguard, so that tests can show that the checks detect its
// absence.
package chaos
