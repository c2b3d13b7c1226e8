// Package system holds the whole-system test: it builds the two programs,
// starts a site as separate processes on loopback addresses from generated
// settings files, and judges it by the audit of what the stand-ins saw.
package system
