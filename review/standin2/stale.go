package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// splitTime is how long the machines with a disk are split into two halves.
	splitTime = 5500 * time.Millisecond
	// restartDelay is how long after its end a stopped process starts again.
	restartDelay = 300 * time.Millisecond
)

// staleStore splits the machines with a disk into two halves. Meanwhile a route is added, a
// trainer submits a step on it, and the store machine that leads is stopped as planned and starts
// again. Without the disruption, everything but the split happens.
func staleStore(s *site, trouble bool) (broken bool, err error) {
	app := route("r-app", "/pufi791/", "idempotent", application, 2000)
	first := route("r-step", "/pule252/", "rollout", engines, 10000)
	added := route("r-added", "/zute418/", "rollout", engines, 10000)
	if err := s.prepare(app, first); err != nil {
		return false, err
	}
	for number := 1; number <= 4; number++ {
		engine, err := startReplica(s, fmt.Sprintf("i-%d", number), s.replicaAddress(number), zones[number%3], true)
		if err != nil {
			return false, err
		}
		go engine.heartbeats()
		if !await(5*time.Second, func() bool { return engine.acknowledged() > 0 }) {
			return false, fmt.Errorf("the heartbeat of %s was not acknowledged", engine.id)
		}
	}
	const warm, name = "11aa09b52d6a3f80", "7c41e09b52d6a3f8"
	if !s.submit(warm, "/pule252/", job(warm, "/pule252/", 2), 5*time.Second) {
		return false, fmt.Errorf("the first step was not accepted")
	}
	if completed, _ := count(s.follow(warm, 8, deadline)); completed != 8 {
		return false, fmt.Errorf("the first step was not completed")
	}
	s.end(warm)
	time.Sleep(contact)

	leader, controlLeader := s.leader("store", 5*time.Second), s.leader("control", 5*time.Second)
	if leader == nil || controlLeader == nil {
		return false, fmt.Errorf("no leader")
	}
	one, other := s.halves(leader, controlLeader)
	began := time.Now()
	if trouble {
		s.record.line("the machines with a disk are split: %s | %s; all others reach both halves", names(one), names(other))
		s.network.split(one, other)
	}
	time.Sleep(200 * time.Millisecond)
	if !s.configure(configuration(2, app, first, added), controlsOf(other), 3*time.Second) {
		return false, fmt.Errorf("the configuration with the added route was not acknowledged")
	}
	if !s.serves("/zute418/", 3*time.Second) {
		return false, fmt.Errorf("a front does not know the added route")
	}
	asked := time.Now()
	if !s.submit(name, "/zute418/", job(name, "/zute418/", 6), 3*time.Second) {
		return false, fmt.Errorf("the step was not accepted")
	}
	time.Sleep(300 * time.Millisecond)
	s.stop(leader, 8*time.Second)
	time.Sleep(restartDelay)
	if err := s.start(leader, false); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(splitTime)))
	if trouble {
		s.network.heal()
		s.record.line("the halves are joined after %.1f s", time.Since(began).Seconds())
	}
	results := s.follow(name, 24, time.Until(asked.Add(deadline)))
	completed, errored := count(results)
	s.record.say("%.1f s after the step was sent: %d of 24 items listed, %d completed, %d errored", time.Since(asked).Seconds(), len(results), completed, errored)
	s.record.say("no server answered 500 or 422, keepS is 40, the step was not ended, and its route is in force since version 2")
	s.end(name)
	return errored > 0, nil
}

// halves puts the store leader, another store and a control machine that does not lead into one
// half, the other machines with a disk into the other.
func (s *site) halves(leader, controlLeader *machine) (one, other []*machine) {
	one = append(one, leader)
	for _, role := range []string{"store", "control"} {
		taken := false
		for _, m := range s.of(role) {
			switch {
			case m == leader:
			case m != controlLeader && !taken:
				one, taken = append(one, m), true
			default:
				other = append(other, m)
			}
		}
	}
	return one, other
}

func names(machines []*machine) string {
	list := ""
	for _, m := range machines {
		list += m.name + " "
	}
	return list
}

func controlsOf(machines []*machine) (controls []*machine) {
	for _, m := range machines {
		if m.role == "control" {
			controls = append(controls, m)
		}
	}
	return controls
}

// serves waits until no front answers 404 to a request that tests whether a route is in force.
func (s *site) serves(prefix string, limit time.Duration) bool {
	return await(limit, func() bool {
		for _, m := range s.of("front") {
			status, _, err := call(http.MethodGet, "http://"+m.at(m.public, s.ports.caller)+prefix+"probe", http.Header{headerID: {"probe"}}, nil, time.Second)
			if err != nil || status == http.StatusNotFound || status == http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	})
}
