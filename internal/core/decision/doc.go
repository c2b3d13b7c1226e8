// Package decision keeps the records of decisions that an operator may ask
// about, bounded in memory, and tells them in plain words.
package decision
