// Package examples tests the sites of examples/: it runs them as separate processes with
// scripts/fleet and audits what the stand-ins observed.
package examples
