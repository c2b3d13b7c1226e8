// Package guard keeps a process from sending requests that crash replicas. It reports the
// crashes and answers that the process observes to the control group, and decides by the
// quarantine in its view, which combines the reports of all processes.
package guard
