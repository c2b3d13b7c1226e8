// Package engineclient is the HTTP client of one model engine: streamed completions,
// cancellation, fenced orders, load reports, cache events and exports of KV cache. It
// implements port.Engine.
//
// A completion is either complete or fails. The client withholds the last chunk until it
// has read the end marker and the token counts match, so that a truncated, reordered or
// mixed-up stream is never delivered as a short completion.
package engineclient
