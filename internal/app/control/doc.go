// Package control runs a control member process. It connects the consensus and
// control state cores to the write-ahead log, the internal protocol and the
// operator API.
//
// One goroutine, the loop, owns the core and the log. It processes messages,
// requests and ticks, persists writes in batches with one sync each, sends the
// messages that depend on them, and replies. Other goroutines submit requests to
// it and read the immutable status that it publishes.
//
// A member does not start if its data folder is corrupt, belongs to another
// member, or is lost while the group lists the member as a voter. A member stops
// if a write or sync fails, because it must no longer vote; it can rejoin as a
// learner under a new id.
package control
