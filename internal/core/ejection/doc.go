// Package ejection tracks the health of a pool's replicas and ejects unhealthy ones from
// routing for a limited time.
//
// A replica is ejected after consecutive failures, or when it is much slower than the
// pool's median. Each repetition doubles the ejection time. Afterwards the replica is
// probed: a few successes return it to routing, a failure ejects it again. At most a
// configured share of the pool is ejected at a time. As the homes of a pool eject
// independently, readers enforce the limit again with AcceptedClaims.
package ejection
