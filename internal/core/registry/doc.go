// Package registry holds the parts of the replicated control state that concern
// configuration: the document with its revision, fenced leases, published
// weight versions, the answers kept for resent changes, and the history of
// accepted changes.
//
// Everything here is deterministic: equal commands in equal order give equal
// states on every member. Time is the log's time, which the caller passes in.
// Refusals are *port.Error values with verdict NotRun.
package registry
