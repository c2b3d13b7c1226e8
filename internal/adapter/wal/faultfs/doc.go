// Package faultfs is an in-memory file system with injected failures, for fault
// tests and for the simulator.
//
// It tracks written and synced data separately. Crash drops what a power loss may
// drop: unsynced bytes, of which an arbitrary prefix may survive with a damaged
// end, and creations, renames and removals in folders that were not synced, each by
// itself. KillAfter ends a process between any two operations. All choices derive from
// a seed.
package faultfs
