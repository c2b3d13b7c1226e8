// Package decision stores records of decisions in bounded memory and formats them as
// sentences for operators.
package decision
