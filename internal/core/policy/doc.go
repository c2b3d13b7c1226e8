// Package policy compiles and runs the programs that operators write for a rollout
// pool. A program is Starlark source with a function plan(pool), which receives a
// read-only view of the pool and returns which samples to generate, on which weight
// versions and replicas.
//
// A program is deterministic: it cannot load modules, print, read a clock or draw random
// numbers, and has no effect besides its result. The number of its interpreter steps is
// limited.
package policy
