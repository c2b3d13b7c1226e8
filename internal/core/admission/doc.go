// Package admission limits the requests that wait and run.
//
// Queue holds the requests that wait at one node for one pool, ordered by priority,
// then by fair share among tenants, then by deadline. It immediately refuses a request
// that cannot be served in time, with a RetryAfter. Every request that leaves the queue
// unserved ends with a NotRun error, since no back end received any part of it.
//
// SendLimiter limits the rate at which a sender sends requests to a service. All senders of a
// service adapt their limits to latency and refusals on their own, without messages.
//
// Limiter adapts the number of requests that one replica runs at a time.
package admission
