// Package standin runs HTTP servers that stand in for the systems around
// loomgrade: model engines, application services, the weight store, trainers,
// scoring services and the machine list.
//
// Each is started in-process by its Start function or as a process of its own
// by "loomlab stand-in". Each has fault switches (Inject, or POST /fault) and
// records what it saw for the audit (Observations, or GET /observations).
package standin
