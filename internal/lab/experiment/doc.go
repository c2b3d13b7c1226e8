// Package experiment runs variants of a site side by side in virtual time and
// judges them.
//
// An experiment file names a site, variants, seeds, a length and sweeps. Every
// variant runs with every seed, so that two variants meet the same arrivals and
// differences are paired by seed. Results hold every figure of every run beside
// its physical limit, no wall clock, and are equal to the last byte for equal
// settings and an equal build.
package experiment
