// Package proxy sends a request to one of a service's replicas and returns its answer. It
// chooses the replica and retries on others where that is safe. A failure states whether the
// request may have run.
//
// A repeatable request is retried after a failure, and hedged on a second replica if the
// first is slow; the slower try is cancelled. Any other request is retried only if it
// certainly did not run.
//
// With Config.LimitSends, requests to an overloaded service wait or are refused as not run
// before they are sent, and further tries spend a retry budget.
package proxy
