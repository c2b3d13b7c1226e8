// Package engine models a language-model inference engine: continuous
// batching, a block-based KV cache with prefix reuse, priorities, preemption,
// weight staging and activation, fenced orders and crashes.
//
// The model is a pure state machine without a clock or goroutines. Every call passes
// the time, as a duration since an origin that the caller chooses; times must not
// decrease from call to call. The model therefore runs both in real time, behind the
// HTTP stand-in, and in virtual time, in the simulator.
//
// A driver submits requests and orders, calls Next for the time of the next internal
// event, and calls Advance to collect the events up to a time. A run of decode steps
// over an unchanged batch is one internal event, so the cost of a simulated second
// depends on how often the batch changes rather than on how many tokens it generates.
package engine
