// Package guard keeps a process from sending requests that crash replicas. It reports
// what the process observed to the control group, and decides by the quarantine in its view,
// which combines the observations of all processes.
package guard
