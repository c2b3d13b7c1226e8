// Package sitestore is the process of a store machine: it stores jobs in a log replicated
// over the store machines and, on the leader of that group, runs their items on replicas.
//
// A job is accepted once it is durable on more machines than may fail. Generated text is
// committed periodically, so that a new leader resumes it; a result is listed once it is
// committed. The runner runs items only while its member leads in contact with a quorum, so
// that the end of a job stops its runs.
package sitestore
