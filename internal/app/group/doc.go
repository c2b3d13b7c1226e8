// Package group runs one member of a replicated group whose members find each
// other: it joins package groupmember to the write-ahead log and the protocol
// between own processes.
//
// One goroutine, the loop, owns the core, the state machine and the log. A
// member whose data folder is empty founds the group with others or joins it
// under a new id. A member that was removed, or whose folder is damaged, clears
// its folder and joins again under a new id; it never votes under its old one.
// A failed write or sync ends the member.
package group
