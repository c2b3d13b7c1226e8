// Package guard keeps a process from sending requests under which replicas end. It tells
// the control group what the process saw, and decides by what all processes saw: the
// quarantine of its view.
package guard
