package fault

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of the network.
const (
	latencyInZone  = 200 * time.Microsecond
	latencyBetween = 2 * time.Millisecond
	latencyJitter  = 500 * time.Microsecond
	// connectTimeout is how long dialling an unreachable process takes to fail.
	connectTimeout = time.Second
	// streamTimeout is how long an open connection takes to detect a partition.
	streamTimeout = 3 * time.Second
)

// outside is the zone of callers, trainers and scorers; it is never partitioned.
const outside port.ZoneName = ""

// process is a network endpoint that can crash and restart.
type process struct {
	name string
	zone port.ZoneName
	up   bool
	// internal marks the processes of loomgrade itself.
	internal bool
	// incarnation changes when the process dies; messages to an earlier one are lost.
	incarnation int
	streams     []*stream
}

// reachable reports whether two processes can exchange messages.
func (w *world) reachable(a, b *process) bool {
	if a == b {
		return true
	}
	if w.isolated[a.name] && b.internal || w.isolated[b.name] && a.internal {
		return false
	}
	if a.zone == b.zone {
		return true
	}
	return !w.partitionedZones[a.zone] && !w.partitionedZones[b.zone]
}

func (w *world) latency(a, b *process) time.Duration {
	if a == b {
		return 0
	}
	base := latencyBetween
	if a.zone == b.zone {
		base = latencyInZone
	}
	return base + time.Duration(w.random.network.Int64N(int64(latencyJitter)))
}

// sendMessage sends a one-way message, which is lost if the receiver is down or
// unreachable.
func (w *world) sendMessage(from, to *process, deliver func()) {
	if !from.up || !w.reachable(from, to) {
		return
	}
	incarnation := to.incarnation
	w.after(w.latency(from, to), func() {
		if to.up && to.incarnation == incarnation && w.reachable(from, to) {
			deliver()
		}
	})
}

// stream is a connection with one request and its response messages.
type stream struct {
	world             *world
	client, server    *process
	clientIncarnation int
	serverIncarnation int
	closed            bool
	// lastArrival is the arrival time of the last message, which keeps them in order.
	lastArrival time.Duration
	// onFailure reports a lost connection to the client. It is called at most once,
	// and not after either side closed.
	onFailure func(*port.Error)
	// onDisconnect, set by the server, is called when the client disconnects.
	onDisconnect func()
	// messages counts the messages to the client. The connection breaks after cutAfter
	// messages; a negative value disables this.
	messages int
	cutAfter int
	lost     bool
}

// dial opens a stream: serve runs at the server, onFailure at the client.
func (w *world) dial(client, server *process, serve func(*stream), onFailure func(*port.Error)) *stream {
	s := &stream{
		world: w, client: client, server: server,
		clientIncarnation: client.incarnation, serverIncarnation: server.incarnation, onFailure: onFailure, cutAfter: -1,
	}
	client.addStream(s)
	server.addStream(s)
	delay := w.latency(client, server)
	switch {
	case !w.reachable(client, server):
		w.after(connectTimeout, func() { s.fail(unreachable(server)) })
	case !server.up:
		w.after(delay, func() { s.fail(unreachable(server)) })
	case w.cutsRequest():
		// The request was sent, and the connection breaks before it arrives.
		w.after(delay, func() { s.fail(connectionLost()) })
	default:
		s.cutAfter = w.cutsAnswer()
		w.after(delay, func() { s.arrive(serve) })
	}
	return s
}

// arrive delivers the request to the server.
func (s *stream) arrive(serve func(*stream)) {
	switch {
	case s.closed:
	case !s.server.up || s.server.incarnation != s.serverIncarnation:
		s.fail(unreachable(s.server))
	case !s.world.reachable(s.client, s.server):
		s.fail(connectionLost())
	default:
		serve(s)
		if s.cutAfter == 0 {
			s.cut()
		}
	}
}

func unreachable(server *process) *port.Error {
	return port.NewError(port.NotRun, port.CodeUnavailable, "%s is unreachable", server.name)
}

func connectionLost() *port.Error {
	return port.NewError(port.MayHaveRun, port.CodeUnavailable, "connection lost")
}

// addStream registers a stream with the process.
func (p *process) addStream(s *stream) {
	if len(p.streams) >= 64 && len(p.streams) == cap(p.streams) {
		p.streams = slices.DeleteFunc(p.streams, func(s *stream) bool { return s.closed })
	}
	p.streams = append(p.streams, s)
}

// answer sends a message from the server to the client; last ends the stream.
func (s *stream) answer(last bool, handle func()) {
	if s.closed {
		s.world.count.lateAnswers++
		return
	}
	if s.cutAfter >= 0 && s.messages >= s.cutAfter {
		s.cut()
		return
	}
	s.messages++
	s.lastArrival = max(s.lastArrival, s.world.queue.Now()+s.world.latency(s.server, s.client))
	s.world.after(s.lastArrival-s.world.queue.Now(), func() {
		if s.closed || s.client.incarnation != s.clientIncarnation {
			s.world.count.lateAnswers++
			return
		}
		if s.lost || !s.world.reachable(s.client, s.server) {
			s.markLost()
			return
		}
		if last {
			s.closed = true
		}
		handle()
	})
}

// markLost drops all later messages and breaks the stream after streamTimeout.
func (s *stream) markLost() {
	if !s.lost {
		s.lost = true
		s.world.after(streamTimeout, s.cut)
	}
}

// close closes the stream at the client and notifies the server.
func (s *stream) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.notifyDisconnect(s.world.latency(s.client, s.server))
}

// cut breaks the connection for both sides, after the messages in flight.
func (s *stream) cut() {
	delay := max(s.lastArrival-s.world.queue.Now(), s.world.latency(s.client, s.server))
	s.world.after(delay, func() { s.fail(connectionLost()) })
	s.notifyDisconnect(0)
}

// fail closes the stream at the client and reports the failure.
func (s *stream) fail(failure *port.Error) {
	if s.closed {
		return
	}
	s.closed = true
	if s.client.up && s.client.incarnation == s.clientIncarnation && s.onFailure != nil {
		s.onFailure(failure)
	}
}

// notifyDisconnect notifies the server that the client disconnected.
func (s *stream) notifyDisconnect(after time.Duration) {
	s.world.after(after, func() {
		if s.server.up && s.server.incarnation == s.serverIncarnation && s.onDisconnect != nil {
			notify := s.onDisconnect
			s.onDisconnect = nil
			notify()
		}
	})
}

// kill ends a process immediately.
func (w *world) kill(p *process) {
	p.up = false
	p.incarnation++
	streams := p.streams
	p.streams = nil
	for _, s := range streams {
		switch {
		case s.closed:
		case s.client == p:
			s.closed = true
			s.notifyDisconnect(w.latency(s.client, s.server))
		default:
			s.cut()
		}
	}
}

// breakPartitioned breaks open streams to unreachable processes after streamTimeout.
func (w *world) breakPartitioned() {
	for _, p := range w.processes {
		for _, s := range p.streams {
			if s.client == p && !s.closed && !w.reachable(s.client, s.server) {
				w.after(streamTimeout, func() {
					if !s.closed {
						s.cut()
					}
				})
			}
		}
	}
}
