// Package requestkeys stores the outcomes of requests that carry a caller's key, for a
// limited time and up to a limited number, so that a repeated request joins the first
// attempt or returns its outcome.
package requestkeys
