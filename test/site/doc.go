// Package site holds tests of a whole site whose members find each other, on the
// users' platform: control, store and front processes in one test process, over
// loopback, with simulated disks and with replicas that speak the platform's
// protocol.
package site
