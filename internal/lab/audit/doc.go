// Package audit checks a run of loomgrade against the observations of the systems around
// it: engines and application services report what ran, trainers and callers what they
// received. Except for
// Limits.FirstUndelivered, it uses nothing that loomgrade itself reports.
//
// Check is a pure function of the Observations. Times are durations since an origin that
// all observers share; observers in real time use the Unix epoch.
package audit
