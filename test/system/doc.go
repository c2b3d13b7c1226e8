// Package system tests a complete site: it builds the two programs, starts a site as
// separate processes on loopback addresses from generated settings files, and audits the
// observations of callers and stand-ins.
package system
