// Command standin2 plays the cases of the second review: it starts a small deployment of the
// project's own programs on loopback addresses, with stand-ins for servers, clients and the
// operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

// play is a case; it reports whether the rule was broken.
type play struct {
	controls, stores, fronts int
	network                  bool
	run                      func(s *site, trouble bool) (broken bool, err error)
}

var plays = map[string]play{
	"late-heartbeat": {3, 3, 2, false, lateHeartbeat},
	"stale-store":    {3, 3, 2, true, staleStore},
	"large-job":      {3, 3, 2, false, largeJob},
	"removed-route":  {3, 3, 2, false, removedRoute},
	"oversized-step": {3, 3, 2, false, oversizedStep},
}

// Exit codes.
const (
	held = iota
	brokenRule
	couldNotRun
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, program, path string) int {
	chosen, known := plays[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no case", name)
		return couldNotRun
	}
	r, err := openRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, with the disruption: %v", name, trouble)
	s, err := newSite(program, r, chosen.controls, chosen.stores, chosen.fronts, chosen.network)
	if err != nil {
		r.say("could not run: %v", err)
		return couldNotRun
	}
	defer s.close()
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := chosen.run(s, trouble)
		ended <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case got := <-ended:
		switch {
		case got.err != nil:
			r.say("could not run: %v", got.err)
			return couldNotRun
		case got.broken:
			r.say("the rule was broken")
			return brokenRule
		}
		r.say("the rule held")
		return held
	case <-signals:
		r.say("could not run: interrupted")
	case <-time.After(timeLimit):
		r.say("could not run: no result after %v", timeLimit)
	}
	return couldNotRun
}
