package main

import (
	"fmt"
	"time"
)

const (
	// removedEvents make a text take about two seconds.
	removedEvents = 50
	// removalDelay is when after the step's acceptance its route is removed, crashDelay when a
	// server crashes.
	removalDelay = 400 * time.Millisecond
	crashDelay   = 900 * time.Millisecond
)

// removedRoute submits a step that the servers run at once. While they do, the operator removes the
// step's route, and then one server crashes. Without the disruption, no server crashes.
func removedRoute(s *site, trouble bool) (broken bool, err error) {
	app := route("r-app", "/pufi791/", "idempotent", application, 2000)
	if err := s.prepare(app, route("r-step", "/pule252/", "rollout", engines, 10000)); err != nil {
		return false, err
	}
	var servers []*replica
	for number := 1; number <= engineCount; number++ {
		engine, err := startReplica(s, fmt.Sprintf("i-%d", number), s.replicaAddress(number), zones[number%3], true)
		if err != nil {
			return false, err
		}
		engine.length = removedEvents
		servers = append(servers, engine)
		go engine.heartbeats()
		if !await(5*time.Second, func() bool { return engine.acknowledged() > 0 }) {
			return false, fmt.Errorf("the heartbeat of %s was not acknowledged", engine.id)
		}
	}
	time.Sleep(contact)
	const name = "7c41e09b52d6a3f8"
	const groups = engineCount * slots / 4
	asked := time.Now()
	if !s.submit(name, "/pule252/", job(name, "/pule252/", groups), 3*time.Second) {
		return false, fmt.Errorf("the step was not accepted")
	}
	time.Sleep(removalDelay)
	if !s.configure(configuration(2, app), s.of("control"), 3*time.Second) {
		return false, fmt.Errorf("the configuration without the route was not acknowledged")
	}
	time.Sleep(time.Until(asked.Add(crashDelay)))
	lastTrouble := time.Now()
	if trouble {
		servers[0].crash()
	}
	const total = 4 * groups
	results := s.follow(name, total, time.Until(asked.Add(deadline)))
	listed := map[string]bool{}
	for _, r := range results {
		listed[r.ID] = true
	}
	last, running := map[string]time.Time{}, 0
	for _, server := range servers {
		for _, a := range server.ran() {
			last[a.id] = a.at
		}
		if server.ctx.Err() == nil {
			running += server.busy()
		}
	}
	steady, stuck := lastTrouble.Add(contact), 0
	for id, at := range last {
		if !listed[id] && at.Before(lastTrouble) {
			stuck++
			s.record.line("item %s: last sent to a server %.1f s before the crash, neither listed nor sent again", id, lastTrouble.Sub(at).Seconds())
		}
	}
	completed, errored := count(results)
	waited := time.Until(steady)
	s.record.say("%.1f s after the step was sent: %d of %d items listed, %d completed, %d errored; %d items began, %d of them are not listed and at no server since the crash", time.Since(asked).Seconds(), len(results), total, completed, errored, len(last), stuck)
	s.record.say("steady state for %.1f s; %d of %d places of the servers that are up are taken; processes that ended: %v", -waited.Seconds(), running, (engineCount-1)*slots, s.ended())
	s.end(name)
	return stuck > 0 && -waited >= idleLimit && running < engineCount*slots/2, nil
}
