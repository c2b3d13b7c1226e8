// Package control is the process of a control member: it joins the consensus
// and control state cores to the write-ahead log, the protocol between own
// processes and the operators' interface.
//
// One goroutine, the loop, owns the core and the log. It takes messages,
// requests and ticks, makes writes durable in groups with one sync each, sends
// what depends on them afterwards, and answers. Traffic goroutines hand it
// requests and read an immutable snapshot that it publishes.
//
// A member whose data folder is corrupt, foreign, or lost while the group knows
// it as a voter does not start, and a member whose write or sync failed stops:
// it must not vote any more. It comes back as a learner under a new id.
package control
