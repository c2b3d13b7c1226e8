// Package group runs one member of a replicated group. It connects package groupmember to
// the write-ahead log and the wire protocol.
//
// One goroutine, the loop, owns the core, the state machine and the log. A member with an
// empty data folder bootstraps the group with others, or joins it under a new id. A member
// that was removed, or whose folder is damaged, clears its folder and joins again under a
// new id; it must no longer vote under the old one. A failed write or sync stops the member.
package group
