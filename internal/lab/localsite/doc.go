// Package localsite runs a small site in one process over loopback TCP: the real
// control members, store machines and proxies, stand-ins for the replicas, and a trainer
// that submits jobs, reads their results and publishes weights. The audit checks what
// the trainer and the replicas observed: accepted jobs are not lost, each item is listed
// once and does not change, its text is complete and produced by the versions that it
// lists, and no item runs after its job has ended.
//
// All requests use a dialect of this package.
package localsite
