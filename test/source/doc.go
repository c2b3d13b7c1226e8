// Package source holds tests that read the source of the repository: what the
// core may use, which libraries there are, and that no process starts another.
package source
