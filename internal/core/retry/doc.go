// Package retry decides whether a failed attempt is retried.
//
// An unsafe request is retried only if the failed attempt did not run. Only one layer
// retries a request, and it counts all attempts. Retries spend a budget that successes
// earn, and are not started if they can't end before the deadline. Waits use full jitter
// (M. Brooker, "Exponential Backoff And Jitter", 2015).
package retry
