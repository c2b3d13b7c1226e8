// Package audit judges a run of loomgrade by what the systems around it saw:
// engines and application services say what ran, trainers and callers what
// arrived. Nothing that loomgrade says about itself is used.
//
// Check is a pure function from Observations to Violations. Times are
// durations since one origin that all observers of a run share; observers in
// real time use the Unix epoch.
package audit
