// Package node is the process that serves requests. A node accepts application calls,
// completions and trainers' requests, is the home of some replicas of its zone, and may
// coordinate sampling pools under a fenced lease.
//
// One control goroutine owns the state: the view of the configuration, membership, home
// tables and replica health. It publishes an immutable routing snapshot through an
// atomic pointer; traffic goroutines read the snapshot and send events back through one
// bounded channel.
package node
