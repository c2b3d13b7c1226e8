package main

import (
	"fmt"
	"time"
)

const (
	// kvTokens is the memory of a server, as boyanet's sheet gives it.
	kvTokens = 153581
	// longPrompt is the prompt of an item that no server has the memory for.
	longPrompt = 160000
	// longEvents make a text take 2.4 s.
	longEvents = 60
	// longGroups and soundGroups are the groups of four items of the two steps.
	longGroups, soundGroups = 11, 12
)

// oversizedStep submits a step whose prompts are larger than a server's memory, which servers
// reject as if they were full, and then an ordinary step. Without the trouble, the prompts of the
// first step are ordinary too.
func oversizedStep(s *site, trouble bool) (broken bool, err error) {
	if err := s.prepare(route("r-app", "/pufi791/", "idempotent", application, 2000), route("r-step", "/pule252/", "rollout", engines, 10000)); err != nil {
		return false, err
	}
	var servers []*replica
	for number := 1; number <= engineCount; number++ {
		engine, err := startReplica(s, fmt.Sprintf("i-%d", number), s.replicaAddress(number), zones[number%3], true)
		if err != nil {
			return false, err
		}
		engine.length = longEvents
		servers = append(servers, engine)
		go engine.heartbeats()
		if !await(5*time.Second, func() bool { return engine.acknowledged() > 0 }) {
			return false, fmt.Errorf("the heartbeat of %s was not acknowledged", engine.id)
		}
	}
	time.Sleep(contact)
	const first, name = "11aa09b52d6a3f80", "7c41e09b52d6a3f8"
	prompt := 300
	if trouble {
		prompt = longPrompt
	}
	s.record.line("the first step has %d items with prompts of %d tokens; a server has memory for %d", 4*longGroups, prompt, kvTokens)
	if !s.submit(first, "/pule252/", jobOf(first, "/pule252/", longGroups, prompt), 3*time.Second) {
		return false, fmt.Errorf("the first step was not accepted")
	}
	firstAsked := time.Now()
	time.Sleep(100 * time.Millisecond)
	asked := time.Now()
	if !s.submit(name, "/pule252/", job(name, "/pule252/", soundGroups), 3*time.Second) {
		return false, fmt.Errorf("the step was not accepted")
	}
	const total = 4 * soundGroups
	done := make(chan []result)
	go func() { done <- s.follow(name, total, time.Until(asked.Add(deadline))) }()
	busiest, waited := 0, idleLimit+time.Second
	for time.Now().Before(asked.Add(deadline)) {
		running := 0
		for _, server := range servers {
			running += server.busy()
		}
		if time.Since(asked) > deadline-waited {
			busiest = max(busiest, running)
		}
		time.Sleep(20 * time.Millisecond)
	}
	begun, rejected := map[string]bool{}, 0
	for _, server := range servers {
		rejected += server.rejections()
		for _, a := range server.ran() {
			if len(a.id) > len(name) && a.id[:len(name)] == name {
				begun[a.id] = true
			}
		}
	}
	results := <-done
	completed, errored := count(results)
	never := 0
	for group := range soundGroups {
		for item := range 4 {
			if !begun[fmt.Sprintf("%s-%02d-%d", name, group, item)] {
				never++
			}
		}
	}
	s.record.say("%v after the ordinary step was sent: %d of %d items listed, %d completed, %d errored; %d items began, %d were never at a server", deadline, len(results), total, completed, errored, len(begun), never)
	s.record.say("at most %d of %d places were taken in the last %v of it; requests rejected as too large: %d; processes that ended: %v", busiest, engineCount*slots, waited, rejected, s.ended())
	// Both trainers notice their deadlines at their next read, half a second later at most.
	time.Sleep(time.Until(firstAsked.Add(deadline + 400*time.Millisecond)))
	s.end(first)
	s.end(name)
	return never > 0 && len(begun) > 0 && busiest < engineCount*slots/2, nil
}
