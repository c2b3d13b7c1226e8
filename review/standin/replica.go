package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	id      string
	at      time.Time
	ran     bool
	expects string
}

// replica is a stand-in for a replica. It speaks HTTP/1.1 by itself, one request at a time on a
// connection, and can send an answer a second time.
type replica struct {
	site    *site
	id      string
	service string
	slots   int
	work    time.Duration

	// slow is the beginning of the ids whose requests take slowWork; empty for none.
	slow     string
	slowWork time.Duration

	listener net.Listener
	context  context.Context
	cancel   context.CancelFunc
	running  chan struct{}

	mutex       sync.Mutex
	sequence    int
	draining    bool
	arrivals    []arrival
	connections map[net.Conn]bool
	// surplus repeats the next rejection, late: in the place of the next answer on its
	// connection.
	surplus bool
}

// newReplica starts a replica at an address; ":0" after the IP picks a free port.
func newReplica(s *site, id, service, address string, slots int, work time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{site: s, id: id, service: service, slots: slots, work: work, listener: listener, running: make(chan struct{}, slots), connections: map[net.Conn]bool{}}
	r.context, r.cancel = context.WithCancel(context.Background())
	s.record.add("replica %s of %s starts at %s, %d slots, a request takes %v", id, service, listener.Addr(), slots, work)
	go r.accept()
	return r, nil
}

func (r *replica) address() string { return r.listener.Addr().String() }

func (r *replica) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.connections[connection] = true
		r.mutex.Unlock()
		go r.serve(connection)
	}
}

// end ends the replica: it closes its connections, with what runs on them.
func (r *replica) end() {
	r.cancel()
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for connection := range r.connections {
		_ = connection.Close()
	}
}

// heartbeat sends one heartbeat and returns when it was acknowledged.
func (r *replica) heartbeat() (time.Time, error) {
	r.mutex.Lock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body := map[string]any{
		"backend": r.service, "address": r.address(), "zone": zone, "version": "v1", "slots": r.slots, "state": state, "warmupLeftMs": 0,
		"stage": "mixed", "models": []any{}, "sequence": r.sequence,
	}
	r.mutex.Unlock()
	return r.site.controlCall(http.MethodPut, "/loomgrade/replicas/"+r.id, body)
}

// beat sends heartbeats until the replica ends.
func (r *replica) beat() {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.context.Err() == nil {
				_, _ = r.heartbeat()
			}
		case <-r.context.Done():
			return
		}
	}
}

// drain announces that the replica leaves, and returns when that was acknowledged.
func (r *replica) drain() (time.Time, error) {
	r.mutex.Lock()
	r.draining = true
	r.mutex.Unlock()
	return r.heartbeat()
}

// leave removes the replica from the list.
func (r *replica) leave() error {
	_, err := r.site.controlCall(http.MethodDelete, "/loomgrade/replicas/"+r.id, nil)
	return err
}

func (r *replica) serve(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		r.mutex.Lock()
		delete(r.connections, connection)
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(connection)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id, expects := request.Header.Get("X-Loomgrade-Attempt-Id"), request.Header.Get("X-Loomgrade-Expected-Instance")
		arrived := arrival{id: id, at: time.Now(), expects: expects, ran: expects == "" || expects == r.id}
		r.mutex.Lock()
		r.arrivals = append(r.arrivals, arrived)
		repeat := r.surplus && !arrived.ran
		r.mutex.Unlock()
		r.site.record.at(arrived.at, "replica %s: %s %s arrives from %s, expected instance %q, deadline %s ms", r.id, id, request.URL.Path, connection.RemoteAddr(), expects, request.Header.Get("X-Loomgrade-Deadline-Ms"))
		if !arrived.ran {
			rejection := fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nX-Loomgrade-Attempt-Id: %s\r\nX-Loomgrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			r.site.record.add("replica %s: %s is answered 421 and does not run", r.id, id)
			if _, err := connection.Write(rejection); err != nil {
				return
			}
			if late = nil; repeat {
				late = rejection
			}
			continue
		}
		if late != nil {
			r.site.record.add("replica %s: a surplus copy of its 421 to %s is sent late, in the place of the next answer", r.id, id)
			if _, err := connection.Write(late); err != nil {
				return
			}
			late = nil
		}
		if !r.run(id) {
			return
		}
		body := "answer of " + r.id + " to " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Loomgrade-Attempt-Id: %s\r\nX-Loomgrade-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, sealOf(r.id, id), len(body), body)
		if _, err := io.WriteString(connection, answer); err != nil {
			r.site.record.add("replica %s: the answer to %s can't be delivered", r.id, id)
			return
		}
		r.site.record.add("replica %s: %s is answered 200", r.id, id)
	}
}

// run works on a request once there is a slot; it returns false if the replica ended meanwhile.
func (r *replica) run(id string) bool {
	select {
	case r.running <- struct{}{}:
	case <-r.context.Done():
		r.site.record.add("replica %s ends, %s never began", r.id, id)
		return false
	}
	defer func() { <-r.running }()
	r.site.record.add("replica %s: %s begins to run", r.id, id)
	work := r.work
	if r.slow != "" && strings.HasPrefix(id, r.slow) {
		work = r.slowWork
	}
	select {
	case <-time.After(work):
		return true
	case <-r.context.Done():
		r.site.record.add("replica %s ends, the run of %s is cut", r.id, id)
		return false
	}
}

func (r *replica) seen() []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func sealOf(replica, id string) string { return "seal." + replica + "." + id }
