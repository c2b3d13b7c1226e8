// Package soak runs a site's real programs as processes and draws faults from
// outside: signals (kill, stop and continue, planned stops), a proxy on loopback
// between the machines (delay, reset, cuts in one direction or both, silence),
// lost and damaged disks, disks that stall, are slow or refuse writes (the program
// is built with the tag faultinjection for these). The time of day cannot be
// changed from outside; test/source shows that no decision depends on it. Nor can a machine be
// suspended: a process is stopped, and the clock that counts suspended time goes ahead by more
// than that when it goes on. Its steady clock counts the stop, as that of a suspended machine
// would not.
// Meanwhile it checks what must always hold by what
// callers, operators and replicas see.
//
// Without flags the site runs for a few seconds without faults. A soak is
//
//	go test ./test/soak -run TestSoak -soak 3m -seed 0 -v
//
// where seed 0 draws a fresh one and prints it. A seed that failed is kept in
// regressions, with its cause.
package soak
