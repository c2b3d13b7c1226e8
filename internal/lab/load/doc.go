// Package load plays the callers of loomgrade: reader apps, indexers, pilots
// and stitching jobs. Every call asks for content of its own, so that the
// audit can tell whose answer came back, and every attempt is recorded with
// what its caller was told.
//
// Load is bounded in time, in calls and in calls at a time, and its arrivals
// follow from the seed alone.
package load
