package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopClients  = 4
	stopDeadline = 10 * time.Second
	stopAim      = 9 * time.Second
	// stopBefore is how long before the SIGTERM the first requests are sent, stopLong how long
	// these take, and stopShort how long the later ones take.
	stopBefore = 200 * time.Millisecond
	stopLong   = 3300 * time.Millisecond
	stopShort  = 1300 * time.Millisecond
	// stopRest is how long a connection rests between the requests of its client, less than the
	// 3 s that the front announces.
	stopRest = 2600 * time.Millisecond
	// stopExcused is the time after a SIGTERM up to which the rule excuses a request whose
	// replica is still at work at the end.
	stopExcused = 3 * time.Second
)

// keptClient is a client that keeps its connection for several requests.
type keptClient struct {
	record     *record
	connection net.Conn
	reader     *bufio.Reader
}

func newKeptClient(r *record, address string) (*keptClient, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &keptClient{record: r, connection: connection, reader: bufio.NewReader(connection)}, nil
}

// send sends a request on the client's connection. mayReuse is set if the answer allows another
// request after stopRest.
func (c *keptClient) send(id string) (got answer, mayReuse bool) {
	body := "form " + id
	c.record.add("client sends %s on its connection %s", id, c.connection.LocalAddr())
	got = answer{sent: time.Now()}
	defer func() {
		got.ended = time.Now()
		c.record.add("client: %s: %v", id, got)
	}()
	_, got.err = fmt.Fprintf(c.connection, "POST /form/submit HTTP/1.1\r\nHost: %s\r\nX-Loomgrade-Attempt-Id: %s\r\nX-Loomgrade-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		hostname, id, stopDeadline.Milliseconds(), len(body), body)
	if got.err != nil {
		return got, false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		got.err = err
		return got, false
	}
	got.body, got.err = io.ReadAll(response.Body)
	got.status, got.seal = response.StatusCode, response.Header.Get("X-Loomgrade-Response-Seal")
	keep := response.Header.Get("Keep-Alive")
	c.record.add("client: the answer to %s says Connection %q, Keep-Alive %q", id, response.Header.Get("Connection"), keep)
	return got, !response.Close && keep == "timeout=3"
}

// playStop stops a front as the platform does, while clients with kept connections wait for
// answers, and lets them use these connections once more within the time that the front announced.
func playStop(s *site, trouble bool) (broken bool, err error) {
	if err := s.startAll(); err != nil {
		return false, err
	}
	routes := []map[string]any{{
		"name": "r-form", "hostname": hostname, "pathPrefix": "/form/", "routeType": "non_idempotent", "timeoutMs": stopDeadline.Milliseconds(),
		"targetLatencyMs": stopAim.Milliseconds(), "priority": 1, "backend": "form-api", "maxAttempts": 2,
	}}
	services := []map[string]any{{"name": "form-api", "healthPath": "/healthz", "maxConns": 140, "protocol": "h1", "tls": false}}
	if err := s.configure(routes, services); err != nil {
		return false, err
	}
	r, err := newReplica(s, "i-1", "form-api", fmt.Sprintf("127.80.%d.200:0", s.subnet), 8, stopShort)
	if err != nil {
		return false, err
	}
	defer r.end()
	r.slow, r.slowWork = "long-", stopLong
	if _, err := r.heartbeat(); err != nil {
		return false, err
	}
	go r.beat()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	front := s.of("front")[0]
	address := strings.TrimSuffix(strings.TrimPrefix(s.frontURL(front, ""), "http://"), "/")
	stopped := time.Now().Add(stopBefore)
	if trouble {
		time.AfterFunc(stopBefore, func() {
			s.record.add("the platform sends SIGTERM to %s", front.name)
			front.signal(syscall.SIGTERM)
		})
		time.AfterFunc(stopBefore+graceTime, func() {
			if front.running() {
				s.record.add("the platform sends SIGKILL to %s", front.name)
				front.signal(syscall.SIGKILL)
			}
		})
	}
	var clients sync.WaitGroup
	var mutex sync.Mutex
	lost, failed := 0, 0
	for i := range stopClients {
		client, err := newKeptClient(s.record, address)
		if err != nil {
			return false, err
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			first, mayReuse := client.send(fmt.Sprintf("long-%d", i+1))
			var second answer
			if mayReuse {
				time.Sleep(stopRest)
				second, _ = client.send(fmt.Sprintf("short-%d", i+1))
			}
			_ = client.connection.Close()
			mutex.Lock()
			defer mutex.Unlock()
			if first.err != nil {
				failed++
			}
			if second.err != nil {
				failed++
			}
			if trouble && second.err != nil && second.sent.After(stopped.Add(stopExcused)) && second.ended.Before(stopped.Add(graceTime+time.Second)) {
				lost++
				s.record.add("LOST: short-%d, sent %.0f ms after the SIGTERM, ends without an answer %.0f ms after it; its replica was at work and its deadline was %v", i+1,
					float64(second.sent.Sub(stopped).Milliseconds()), float64(second.ended.Sub(stopped).Milliseconds()), stopDeadline)
			}
		}()
	}
	clients.Wait()
	if trouble {
		select {
		case <-front.ended:
			s.record.add("%s has ended", front.name)
		case <-time.After(graceTime):
			return false, errors.New("the front did not end")
		}
	}
	s.record.add("%d requests lost, %d without a complete answer", lost, failed)
	return lost > 0 || !trouble && failed > 0, nil
}
