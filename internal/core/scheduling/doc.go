// Package scheduling picks the replica that serves a request.
//
// A Profile is a pipeline: filters remove replicas, scorers rate the remaining ones
// from 0 to 1, and a picker chooses among them. Every step is a pure function of the
// replicas, the request and the random source. The cost is linear in the number of
// candidates, and a warm scheduler does not allocate for a decision without a record.
package scheduling
