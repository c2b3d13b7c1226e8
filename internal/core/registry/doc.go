// Package registry holds the parts of the replicated control state that concern configuration:
// the document with its revision, fenced leases, published weight versions, the answers stored
// the document with its revision, fenced leases, published weight versions, the answers stored
// for retried changes, and the history of accepted changes.
// Everything here is deterministic: the same commands in the same order produce the same state
// on every member. Time is log time, passed in by the caller. Rejections are *port.Error values
// with verdict NotRun.
package registry
