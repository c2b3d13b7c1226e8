// Package admission limits the requests that wait and run.
//
// Queue holds the requests that wait at one node for one pool, ordered by priority,
// then by fair share among tenants, then by deadline. It refuses a request that
// cannot be served in time at once, with a RetryAfter. Every request that leaves the
// queue unserved ends with a NotRun error, as nothing of it reached a back end.
//
// Limiter adapts the number of requests that one replica runs at a time.
package admission
