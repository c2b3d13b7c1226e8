// Package experiment runs variants of a site in virtual time and compares them.
//
// An experiment file sets a site, variants, seeds, a length and sweeps. Every variant
// runs with every seed, so that all variants see the same arrivals and differences are
// paired by seed. Results hold the figures of every run with their physical limits. They
// hold no wall clock time, so equal settings and an equal build give identical bytes.
package experiment
