// Package sitestore is the process of a store machine: it keeps jobs in a log
// replicated over the store machines and, on the leader of that group, runs
// their items at replicas.
//
// A job is accepted once it is durable on more machines than may be lost.
// Text is kept as it comes, so that a new leader goes on where the old one
// stopped; a result is listed once it is committed. The runner works only while
// its member leads in touch with a quorum, so that a job's end stops it.
package sitestore
