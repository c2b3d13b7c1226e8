// Package spool keeps decision records on disk, so that a question about a
// decision can be answered after the node that took it was restarted. Records
// are appended in batches, synced, and bounded by two files of which the older
// one is dropped. A torn end of a file is ignored.
//
// The spool serves explanations only: a record that is lost costs an answer to
// an operator and nothing else, so a failing disk is counted and not fatal.
package spool
