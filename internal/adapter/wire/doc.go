// Package wire implements the protocol between loomgrade's own processes: remote
// calls, streamed answers and one-way messages, multiplexed over one TCP
// connection per pair of processes.
//
// A connection carries a CBOR sequence (RFC 8742). Every item is a byte string
// of limited length that holds one encoded Frame. Answers are matched by
// connection epoch and stream id, so a late answer is dropped and counted and
// never reaches another call. An answer is complete, terminated by an explicit
// end frame, or it is an error.
//
// The verdict of every error states whether the request may have run: NotRun if
// no byte of the call was written, MayHaveRun if bytes were written and no
// answer arrived, and the peer's own verdict if it rejected the call.
package wire
