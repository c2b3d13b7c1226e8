// Package standin runs HTTP servers that simulate the systems around loomgrade: model
// engines, application services, the weight store, trainers, scoring services and the
// machine list.
//
// A stand-in runs in-process (its Start function) or as a separate process
// ("loomlab stand-in"). Each can inject faults (Inject, or POST /fault) and records
// observations for the audit (Observations, or GET /observations).
package standin
