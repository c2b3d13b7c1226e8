package main

import (
	"fmt"
	"sync"
	"time"
)

// twiceDelays are, for each round, how long after the new incarnation's first heartbeat the
// request is sent. The site takes some 10 ms to know the incarnation, 100 ms on a busy machine.
var twiceDelays = []time.Duration{0, 0, 0, 0, 40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond, 160 * time.Millisecond}

const (
	twiceWork     = 120 * time.Millisecond
	twiceDeadline = 4 * time.Second
	// twiceDown is how long a crashed replica is down.
	twiceDown = 500 * time.Millisecond
	// twiceUsual is the number of usual requests between two rounds, twiceClients the number of
	// clients that send them.
	twiceUsual   = 48
	twiceClients = 6
)

// playTwice lets the only replica of a service crash and start again at its address, and sends
// a request that may run at most once before the site knows the new incarnation. The new
// incarnation answers it 421, and repeats that answer late.
func playTwice(s *site, trouble bool) (broken bool, err error) {
	if err := s.startAll(); err != nil {
		return false, err
	}
	routes := []map[string]any{{
		"name": "r-form", "hostname": hostname, "pathPrefix": "/form/", "routeType": "non_idempotent", "timeoutMs": twiceDeadline.Milliseconds(),
		"targetLatencyMs": 1000, "priority": 1, "backend": "form-api", "maxAttempts": 2,
	}}
	services := []map[string]any{{"name": "form-api", "healthPath": "/healthz", "maxConns": 140, "protocol": "h1", "tls": false}}
	if err := s.configure(routes, services); err != nil {
		return false, err
	}
	current, err := newReplica(s, "i-0", "form-api", fmt.Sprintf("127.80.%d.200:0", s.subnet), 8, twiceWork)
	if err != nil {
		return false, err
	}
	defer func() { current.end() }()
	if _, err := current.heartbeat(); err != nil {
		return false, err
	}
	go current.beat()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	url := s.frontURL(s.of("front")[0], "/form/submit")
	runs, results := map[string]int{}, map[string]answer{}
	for i, delay := range twiceDelays {
		round := i + 1
		for id, got := range sendUsual(url, round) {
			results[id] = got
		}
		if trouble {
			address := current.address()
			current.end()
			s.record.add("replica %s crashes", current.id)
			current.count(runs)
			time.Sleep(twiceDown)
			if current, err = newReplica(s, fmt.Sprintf("i-%d", round), "form-api", address, 8, twiceWork); err != nil {
				return false, err
			}
			current.surplus = true
		}
		id := fmt.Sprintf("q-%02d", round)
		registered := make(chan error, 1)
		go func() {
			_, err := current.heartbeat()
			s.record.add("a heartbeat of replica %s is acknowledged", current.id)
			registered <- err
		}()
		time.Sleep(delay)
		s.record.add("client sends %s", id)
		results[id] = send(url, id, twiceDeadline, []byte("form "+id))
		s.record.add("client: %s: %v", id, results[id])
		if err := <-registered; err != nil {
			return false, err
		}
		if trouble {
			go current.beat()
		}
		time.Sleep(contactTime)
	}
	current.count(runs)
	refused, failed := 0, 0
	for id, got := range results {
		switch {
		case runs[id] > 1:
			broken = true
			s.record.add("TWICE: %s, which may run at most once, ran %d times; its client got: %v", id, runs[id], got)
		case runs[id] == 1 && got.err == nil && got.status == 503:
			refused++
			s.record.add("REFUSED: %s ran, and its client got 503", id)
		case got.err != nil || got.status != 200:
			failed++
		}
	}
	s.record.add("%d requests in all, %d ran and were answered 503, %d others got no success", len(results), refused, failed)
	return broken || !trouble && refused+failed > 0, nil
}

// sendUsual sends the usual requests between two rounds and returns their answers.
func sendUsual(url string, round int) map[string]answer {
	var clients sync.WaitGroup
	var mutex sync.Mutex
	answers := map[string]answer{}
	for client := range twiceClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := range twiceUsual / twiceClients {
				id := fmt.Sprintf("u-%02d-%d-%02d", round, client, i)
				got := send(url, id, twiceDeadline, []byte("form "+id))
				mutex.Lock()
				answers[id] = got
				mutex.Unlock()
			}
		}()
	}
	clients.Wait()
	return answers
}

// count adds the runs of the replica's requests.
func (r *replica) count(runs map[string]int) {
	for _, arrived := range r.seen() {
		if arrived.ran {
			runs[arrived.id]++
		}
	}
}
