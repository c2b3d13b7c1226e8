// Package sitestate is the replicated control state of a site whose replicas and store
// machines register themselves: the configuration with the highest version, the replicas,
// published weight versions, the machine that may instruct replicas, and the store machines.
//
// State applies commands in log order and computes updates for observers. A decision is
// binding once it is applied: a replica's departure is acknowledged only then. The package
// does no I/O.
package sitestate
