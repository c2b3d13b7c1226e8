// Package scheduling picks the replica that serves a request.
//
// A Profile is a list of small named steps: filters take replicas out, scorers
// rate those that are left from 0 to 1, and a picker chooses among the rated.
// Every step is pure: the state of the replicas, the request and the random
// source are arguments. The work is linear in the number of candidates, and a
// decision that needs no record allocates nothing once the scheduler is warm.
package scheduling
