// Package contracttest runs one table of faults against every HTTP client adapter, and one
// of faulty requests against servers. A Subject handles an adapter's calls correctly; the
// table injects faults on the raw connection: delayed, truncated, repeated, reordered,
// oversize, mixed-up and malformed responses, refusals, and resets of reused connections.
package contracttest
