// Package source holds tests that parse the repository's source: which packages the core
// may import, which libraries are allowed, and that no process starts another.
package source
