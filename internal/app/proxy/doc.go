// Package proxy carries a request to one of a service's replicas and its answer
// back: it chooses the replica, tries others where that is safe, and says of a
// failure whether the request may have run.
//
// A request that may be repeated is tried again after a failure, and once more
// beside a replica that is slow to answer; the loser is cancelled. Any other
// request is tried again only if it certainly did not run.
package proxy
