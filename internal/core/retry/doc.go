// Package retry decides whether a failed attempt is made again.
//
// The rules: an unsafe request is repeated only when the failed attempt did
// not run; a request is retried by one layer only, which counts all attempts;
// retries spend a budget that successes earn; a retry that cannot end before
// the deadline is not started; waits are drawn with full jitter (M. Brooker,
// "Exponential Backoff And Jitter", 2015).
package retry
