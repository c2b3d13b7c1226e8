// Package metrics collects the metrics of a process and serves them in the Prometheus text
// format. Label values come from closed sets or the configuration, so that callers cannot
// create new ones.
package metrics
