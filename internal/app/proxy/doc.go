// Package proxy sends a request to one of a service's replicas and returns its answer. It
// chooses the replica, retries at others where that is safe, and reports of a failure
// whether the request may have run.
//
// A repeatable request is retried after a failure, and hedged at a second replica if the
// first is slow; the slower try is cancelled. Any other request is retried only if it
// certainly did not run.
package proxy
