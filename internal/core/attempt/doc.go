// Package attempt follows one request over its attempts, in the one layer that
// retries it: which failure allows another attempt, after what wait, whether a
// completion that was cut off is continued, and which verdict holds in the end.
//
// A Loop is a state machine: time comes in with each call, and the retry budget
// and random numbers through the function that decides on a retry.
package attempt
