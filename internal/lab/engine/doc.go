// Package engine models a language-model inference engine: continuous
// batching, a block-based KV cache with prefix reuse, priorities, preemption,
// weight staging and activation, fenced orders and crashes.
//
// The model is a pure state machine. It holds no clock and no goroutine: every
// call names the time, as a duration since an origin that the caller chooses,
// and times must not decrease from call to call. The same model therefore runs
// behind the HTTP stand-in in real time and in the virtual-time simulator.
//
// A driver submits requests and orders, asks Next for the time of the next
// internal event, and calls Advance to collect what has happened by then. A
// run of decode steps over an unchanged batch is one internal event, so the
// cost of a simulated second depends on how often the batch changes rather
// than on how many tokens it produces.
package engine
