// Package metrics counts and measures what a process does, for collection in
// the Prometheus text format. Labels take values from closed sets or from the
// configuration only, so that no caller can make them grow.
package metrics
