// Package engineclient is the client of one model engine over HTTP: streamed
// completions, cancellation, fenced orders, load reports, cache events and
// exports of KV cache. It implements port.Engine.
//
// A completion is delivered whole or ends in an error. The last chunk is held
// back until the stream's end marker has come and the token counts agree, so
// that a stream that was cut, reordered or mixed up with another never looks
// like a short answer.
package engineclient
