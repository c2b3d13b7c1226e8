// Package faultfs is a file system in memory that fails on command, for fault
// tests and for the simulator.
//
// It keeps what was written apart from what was synced. Crash drops what a loss
// of power may drop: unsynced bytes, of which an arbitrary prefix may survive
// with a damaged end, and creations, renames and removals in folders that were
// not synced. All choices come from a seed.
package faultfs
