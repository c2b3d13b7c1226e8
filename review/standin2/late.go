package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// contact is contactMs: a machine is in touch, and the state steady, that long after the
	// last disruption.
	contact = 3 * time.Second
	// idleLimit is how long an item may be at no replica in steady state.
	idleLimit = 5 * time.Second
	// deadline is when the trainer gives a step up.
	deadline = 12 * time.Second
	// engineCount servers make one of them less than 0.17 of their service.
	engineCount = 6
)

// lateHeartbeat starts six servers of a model. One after the other crashes, starts again while it is
// cut off from control, crashes behind the cut and starts again, always at the same address. The
// first heartbeat of the incarnation behind the cut arrives once the last one has registered.
// Without the disruption, the servers go on as they are. Then a trainer submits a step.
func lateHeartbeat(s *site, trouble bool) (broken bool, err error) {
	if err := s.prepare(route("r-app", "/pufi791/", "idempotent", application, 2000), route("r-step", "/pule252/", "rollout", engines, 10000)); err != nil {
		return false, err
	}
	servers, err := s.startServers()
	if err != nil {
		return false, err
	}
	const name = "7c41e09b52d6a3f8"
	groups, lastTrouble := 12, time.Now()
	var asked time.Time
	for number := 1; number <= engineCount; number++ {
		var arrives <-chan struct{}
		if trouble {
			servers[number-1].crash()
			time.Sleep(downtime)
			if arrives, err = s.crashBeforeHeartbeat(number); err != nil {
				return false, err
			}
			b, err := startReplica(s, fmt.Sprintf("i-%db", number), s.replicaAddress(number), zones[number%3], true)
			if err != nil {
				return false, err
			}
			servers[number-1] = b
			go b.heartbeats()
			if !await(3*time.Second, func() bool { return b.acknowledged() > 0 }) {
				return false, fmt.Errorf("the heartbeat of %s was not acknowledged", b.id)
			}
		}
		if number == engineCount {
			asked = time.Now()
			if !s.submit(name, "/pule252/", job(name, "/pule252/", groups), 3*time.Second) {
				return false, fmt.Errorf("the step was not accepted")
			}
		}
		if trouble {
			<-arrives
			lastTrouble = time.Now()
		}
		time.Sleep(300 * time.Millisecond)
	}
	total := 4 * groups
	done := make(chan []result)
	go func() { done <- s.follow(name, total, time.Until(asked.Add(deadline))) }()
	steady := lastTrouble.Add(contact)
	busiest, acknowledged := 0, map[string]int{}
	for time.Now().Before(asked.Add(deadline)) {
		if time.Now().After(steady) {
			running := 0
			for _, b := range servers {
				running += b.busy()
				if _, seen := acknowledged[b.id]; !seen {
					acknowledged[b.id] = b.acknowledged()
				}
			}
			busiest = max(busiest, running)
		}
		time.Sleep(20 * time.Millisecond)
	}
	results := <-done
	reached := map[string]time.Time{}
	for _, b := range servers {
		for _, a := range b.ran() {
			reached[a.id] = a.at
		}
		s.record.say("server %s: %d runs; heartbeats acknowledged: %d in all, %d since the state was steady", b.id, len(b.ran()), b.acknowledged(), b.acknowledged()-acknowledged[b.id])
	}
	never := 0
	for group := range groups {
		for item := range 4 {
			if _, ran := reached[fmt.Sprintf("%s-%02d-%d", name, group, item)]; !ran {
				never++
			}
		}
	}
	completed, errored := count(results)
	waited := asked.Add(deadline).Sub(steady)
	s.record.say("the step ran out of time after %v: %d of %d items listed (%d completed, %d errored); %d items began, %d were never at a replica", deadline, len(results), total, completed, errored, total-never, never)
	s.record.say("steady state for %.1f s before that; at most %d of %d places of the servers were taken in it; processes that ended: %v", waited.Seconds(), busiest, engineCount*slots, s.ended())
	s.end(name)
	return never > 0 && never < total && waited >= idleLimit && busiest < engineCount*slots/2, nil
}

// prepare starts the site, its application servers and its first configuration.
func (s *site) prepare(routes ...object) error {
	if err := s.startAll(); err != nil {
		return err
	}
	if !s.configure(configuration(1, routes...), s.of("control"), 15*time.Second) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	for number := 11; number <= 12; number++ {
		app, err := startReplica(s, fmt.Sprintf("i-app%d", number), s.replicaAddress(number), zones[number%3], false)
		if err != nil {
			return err
		}
		go app.heartbeats()
		if !await(5*time.Second, func() bool { return app.acknowledged() > 0 }) {
			return fmt.Errorf("the heartbeat of %s was not acknowledged", app.id)
		}
	}
	if !s.ready(15 * time.Second) {
		return fmt.Errorf("the fronts are not ready")
	}
	if s.leader("store", 15*time.Second) == nil {
		return fmt.Errorf("no store leads")
	}
	time.Sleep(contact)
	return nil
}

func await(limit time.Duration, reached func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// downtime is how long a server that has crashed is down.
const downtime = time.Second

// heartbeatDelay is how late the first heartbeat of a second incarnation is.
const heartbeatDelay = 3200 * time.Millisecond

// startServers starts the servers of the model and waits until the state is steady.
func (s *site) startServers() ([]*replica, error) {
	var servers []*replica
	for number := 1; number <= engineCount; number++ {
		server, err := startReplica(s, fmt.Sprintf("i-%d", number), s.replicaAddress(number), zones[number%3], true)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
		go server.heartbeats()
		if !await(3*time.Second, func() bool { return server.acknowledged() > 0 }) {
			return nil, fmt.Errorf("the heartbeat of %s was not acknowledged", server.id)
		}
	}
	time.Sleep(contact)
	return servers, nil
}

// crashBeforeHeartbeat starts the second incarnation of a server, whose first heartbeat is delayed
// on its way, and crashes it after less than a second. It returns when the server may start again,
// and a channel that is closed once the heartbeat has arrived.
func (s *site) crashBeforeHeartbeat(number int) (<-chan struct{}, error) {
	a, err := startReplica(s, fmt.Sprintf("i-%da", number), s.replicaAddress(number), zones[number%3], true)
	if err != nil {
		return nil, err
	}
	control := s.of("control")[number%3]
	link, arrived, err := slowLink(control.at(control.public, s.ports.control), heartbeatDelay)
	if err != nil {
		return nil, err
	}
	s.record.line("server %s sends its first heartbeat to %s; it is delayed on its way by %v", a.id, control.name, heartbeatDelay)
	go putBeat(a.ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, link, a.id, a.beat())
	time.Sleep(900 * time.Millisecond)
	a.crash()
	time.Sleep(downtime)
	done := make(chan struct{})
	go func() {
		answer := <-arrived
		s.record.line("the heartbeat of %s, which crashed before, arrives at %s; answer: %s", a.id, control.name, answer)
		close(done)
	}()
	return done, nil
}

// slowLink returns an address that forwards one connection: what is sent on it arrives after a
// delay, also if the sender has ended since. The channel receives the head of the answer.
func slowLink(to string, delay time.Duration) (address string, answered <-chan string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	answers := make(chan string, 1)
	go func() {
		defer listener.Close()
		inbound, err := listener.Accept()
		if err != nil {
			answers <- err.Error()
			return
		}
		began := time.Now()
		sent, _ := io.ReadAll(inbound) // until the sender has ended
		time.Sleep(time.Until(began.Add(delay)))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		outbound, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
		if err != nil {
			answers <- err.Error()
			return
		}
		defer outbound.Close()
		_ = outbound.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = outbound.Write(sent)
		head := make([]byte, 64)
		count, _ := outbound.Read(head)
		answers <- fmt.Sprintf("%.20q", head[:count])
	}()
	return listener.Addr().String(), answers, nil
}
