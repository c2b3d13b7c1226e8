// Package httpapi serves a node's HTTP interface: application calls,
// completions in the OpenAI-compatible form, trainers' batches and weights,
// explanations, status, health and metrics. docs/PROTOCOLS.md is its contract.
//
// The package translates between HTTP and the typed requests of a Backend. Every
// error response is an api.ErrorBody and carries the verdict in a header. Limits
// apply to headers, bodies, connections, calls, streams and their durations.
package httpapi
