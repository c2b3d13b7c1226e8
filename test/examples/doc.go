// Package examples holds the test that runs the sites of examples/ as separate
// processes with scripts/fleet, at the sizes that the users name, and judges
// them by the audit of what the stand-ins saw.
package examples
