// Package balance chooses the replica with the shortest expected wait for a request, from
// the requests in flight, recent latencies and failures that this process has seen. A
// failed replica is blocked for a while; a slow one is retried as its latency estimate
// decays. The package does no locking.
package balance
