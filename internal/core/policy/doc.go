// Package policy compiles and runs the programs that operators write for a
// rollout pool. A program is Starlark source with a function plan(pool): it
// gets a read-only view of the pool and returns which samples to generate, with
// which weight versions and on which replicas.
//
// A program has no input besides the view and no effect besides its result: it
// cannot load modules, print, read a clock or draw a random number, so the same
// source and view always give the same plan. Its interpreter steps are bounded.
package policy
