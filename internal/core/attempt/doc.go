// Package attempt tracks the attempts of one request in the single layer that retries it.
// It decides which failures allow another attempt and after what wait, whether a completion
// that was cut off is resumed, and the final verdict.
//
// A Loop is a state machine: the function that decides on a retry supplies the time, the
// retry budget and the random numbers.
package attempt
