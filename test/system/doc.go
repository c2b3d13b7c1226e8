// Package system holds the whole-system test: it builds the two programs, starts a site
// as separate processes on loopback addresses from generated settings files, and audits
// the observations of the stand-ins.
package system
