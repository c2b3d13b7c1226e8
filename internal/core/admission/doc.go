// Package admission bounds what waits and what runs.
//
// Queue holds the requests that wait at one node for one pool: in order of
// priority, then by fair share among tenants, then by deadline. A request that
// cannot be served in time is refused at once and told when to come back;
// every request that leaves the queue unserved gets its final answer, and each
// such answer is NotRun, for nothing of it reached a back end.
//
// Limiter adapts the number of requests that one replica runs at a time.
package admission
