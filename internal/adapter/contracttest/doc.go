// Package contracttest runs one table of faults against every HTTP client
// adapter. A Subject says how to answer an adapter's call well; the table
// injects the faults below that, on the raw connection: late, cut, repeated,
// reordered, oversize, mixed-up and malformed answers, refusals, and
// connections reset on reuse.
package contracttest
