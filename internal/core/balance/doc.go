// Package balance chooses the replica that a request is sent to: the one whose
// expected wait is shortest, by what this process sees of it. It knows requests
// in flight, how long recent ones took, and failures; a replica that failed is
// left out for a while, and one that was slow is tried again as its latency
// fades. The package is pure; its owner guards it with a lock.
package balance
