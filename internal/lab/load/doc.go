// Package load simulates the callers of loomgrade: reader apps, indexers, pilots and
// stitching jobs. Every call requests unique content, so that the audit can detect mixed-up
// answers, and every attempt is recorded with its outcome.
//
// A load is limited in time, total calls and concurrent calls. Arrivals depend only on the
// seed.
package load
