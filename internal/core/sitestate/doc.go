// Package sitestate is the replicated control state of a site whose replicas
// and store machines register themselves: the configuration under its highest
// version, the replicas and which of them leave, published weight versions, who
// may order replicas, and the store machines.
//
// Commands come in log order; State applies them and tells observers what they
// lack. Whatever binds afterwards stands in the log: that a replica leaves is
// acknowledged only once it was applied. The package is pure.
package sitestate
