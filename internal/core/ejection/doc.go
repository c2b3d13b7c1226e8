// Package ejection judges the health of a pool's replicas and takes unhealthy
// ones out of routing for a while.
//
// A replica is ejected after consecutive failures, or when it is much slower
// than the pool's median. Each repeat doubles the time out. At its end the
// replica is probed: a few successes bring it back, a failure ejects it again.
// No more than a set share of the pool is ever out at a time; since several
// homes judge a pool at once, readers apply the same bound again with Honour.
package ejection
