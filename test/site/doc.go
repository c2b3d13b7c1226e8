// Package site tests complete sites: control, store and front processes in one test
// process, connected over loopback, with simulated disks and stand-in replicas that speak
// the platform's protocol.
package site
