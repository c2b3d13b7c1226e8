package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainRequests = 14
	drainLater    = 3
	drainWork     = 3500 * time.Millisecond
	drainDeadline = 12 * time.Second
	// drainLinger is how long the leaving replica serves after drainMs: "a little longer".
	drainLinger = 2000 * time.Millisecond
)

// playDrain replaces the only replica of a service while a front has more requests for it than
// connections: the new replica starts first, then the old one drains and ends.
func playDrain(s *site, trouble bool) (broken bool, err error) {
	if err := s.startAll(); err != nil {
		return false, err
	}
	routes := []map[string]any{{
		"name": "r-form", "hostname": hostname, "pathPrefix": "/form/", "routeType": "non_idempotent", "timeoutMs": drainDeadline.Milliseconds(),
		"targetLatencyMs": 4000, "priority": 1, "backend": "form-api", "maxAttempts": 2,
	}}
	services := []map[string]any{{"name": "form-api", "healthPath": "/healthz", "maxConns": 140, "protocol": "h1", "tls": false}}
	if err := s.configure(routes, services); err != nil {
		return false, err
	}
	ip := fmt.Sprintf("127.80.%d.200:0", s.subnet)
	old, err := newReplica(s, "i-old", "form-api", ip, 8, drainWork)
	if err != nil {
		return false, err
	}
	defer old.end()
	if _, err := old.heartbeat(); err != nil {
		return false, err
	}
	go old.beat()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)

	var clients sync.WaitGroup
	answers := make([]answer, drainRequests)
	front := s.of("front")[0]
	for i := range drainRequests {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("q-%02d", i+1)
			s.record.add("client sends %s", id)
			answers[i] = send(s.frontURL(front, "/form/submit"), id, drainDeadline, []byte("form "+id))
			s.record.add("client: %s: %v", id, answers[i])
		}()
	}
	time.Sleep(150 * time.Millisecond)
	fresh, err := newReplica(s, "i-new", "form-api", ip, 8, drainWork)
	if err != nil {
		return false, err
	}
	defer fresh.end()
	if _, err := fresh.heartbeat(); err != nil {
		return false, err
	}
	go fresh.beat()
	s.record.add("replica i-new is registered")
	var acknowledged time.Time
	if trouble {
		if acknowledged, err = old.drain(); err != nil {
			return false, err
		}
		s.record.at(acknowledged, "replica i-old announced that it drains, and is acknowledged")
	}
	time.Sleep(time.Second)
	// The front knows by now that i-old leaves: later requests go to i-new.
	for i := range drainLater {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("later-%d", i+1)
			s.record.add("client sends %s", id)
			got := send(s.frontURL(front, "/form/submit"), id, drainDeadline, []byte("form "+id))
			s.record.add("client: %s: %v", id, got)
		}()
	}
	if trouble {
		time.Sleep(time.Until(acknowledged.Add(drainTime + drainLinger)))
		if err := old.leave(); err != nil {
			return false, err
		}
		s.record.add("replica i-old has left the list and ends")
		old.end()
	}
	clients.Wait()

	late, lost := 0, 0
	for _, arrived := range old.seen() {
		if trouble && arrived.at.After(acknowledged.Add(drainTime)) {
			late++
			s.record.add("DRAIN: %s reached i-old %.0f ms after the acknowledgement, the bound is %.0f ms", arrived.id, float64(arrived.at.Sub(acknowledged).Milliseconds()), float64(drainTime.Milliseconds()))
		}
	}
	for i, got := range answers {
		if got.err != nil || got.status != 200 {
			lost++
			s.record.add("unanswered: q-%02d: %v", i+1, got)
		}
	}
	s.record.add("%d requests reached i-old too late, %d of %d requests got no success; i-new got %d requests", late, lost, drainRequests, len(fresh.seen()))
	if !trouble && lost > 0 {
		return true, nil
	}
	return late > 0, nil
}
