// Package diskfault wraps a wal.FileSystem and injects the fault that a control file
// beside the data folder names: stalled, slow or failing writes. Only programs built
// with the tag faultinjection contain it; test/soak controls it from outside the
// process.
package diskfault
