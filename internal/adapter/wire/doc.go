// Package wire is the protocol between loomgrade's own processes: remote
// calls, streamed answers and one-way messages, multiplexed over one TCP
// connection per pair of processes.
//
// A connection carries a CBOR sequence (RFC 8742). Every item is a byte string
// of bounded length that holds one encoded Frame. Answers are matched by
// connection epoch and stream id, so an answer that comes late is dropped and
// counted and never reaches another call. An answer is whole, closed by an
// explicit end frame, or it is an error.
//
// Every error states through its verdict whether the request may have run:
// NotRun when no byte of the call was written, MayHaveRun when bytes were
// written and no answer came, and the remote side's own verdict when it
// refused.
package wire
