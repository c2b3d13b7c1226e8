// Package requestkeys remembers the outcomes of requests that carry a caller's
// key, for a stated time and up to a stated number, so that a resend joins the
// first attempt or gets its outcome.
package requestkeys
