// Package httpapi serves a node's HTTP interface: application calls,
// completions in the OpenAI-compatible form, trainers' batches and weights,
// explanations, status, health and metrics. docs/PROTOCOLS.md is its contract.
//
// The package turns HTTP into the typed requests of a Backend and back. Every
// error answer is an api.ErrorBody and carries the verdict in a header. What a
// caller can make the process hold is bounded: headers, bodies, connections,
// calls, streams and the time that each may take.
package httpapi
