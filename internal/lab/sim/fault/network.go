package fault

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of the network.
const (
	latencyInZone  = 200 * time.Microsecond
	latencyBetween = 2 * time.Millisecond
	latencyJitter  = 500 * time.Microsecond
	// connectTimeout is how long an attempt to reach a machine that is cut off
	// takes to fail.
	connectTimeout = time.Second
	// silenceTimeout is how long it takes to notice that the other side of an
	// open connection is cut off.
	silenceTimeout = 3 * time.Second
)

// outside is the zone of callers, trainers and scorers, which no cut of a zone
// concerns.
const outside port.ZoneName = ""

// process is anything that sends and receives.
type process struct {
	name string
	zone port.ZoneName
	up   bool
	// internal marks the processes of loomgrade itself.
	internal bool
	// life changes when the process dies, so that what was on its way to an
	// earlier life doesn't reach a later one.
	life    int
	streams []*stream
}

// reachable says whether two processes can exchange messages.
func (w *world) reachable(a, b *process) bool {
	if a == b {
		return true
	}
	if w.apart[a.name] && b.internal || w.apart[b.name] && a.internal {
		return false
	}
	if a.zone == b.zone {
		return true
	}
	return !w.cutZones[a.zone] && !w.cutZones[b.zone]
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

// tell sends a one-way message, which is lost when the receiver is not there.
func (w *world) tell(from, to *process, deliver func()) {
	if !from.up || !w.reachable(from, to) {
		return
	}
	life := to.life
	w.after(w.latency(from, to), func() {
		if to.up && to.life == life && w.reachable(from, to) {
			deliver()
		}
	})
}

// stream is a connection that carries one request and the events that answer it.
type stream struct {
	world          *world
	client, server *process
	clientLife     int
	serverLife     int
	closed         bool
	// arrived is when the last message to the client arrives: they come in order.
	arrived time.Duration
	// broken tells the client that the connection was lost. It is called once at
	// most, and not after the client or the server closed.
	broken func(*port.Error)
	// left tells the server that the client is gone; set by the server.
	left func()
	// messages counts those to the client; the connection is cut after cutAfter
	// of them, if that is not negative.
	messages int
	cutAfter int
	lost     bool
}

// dial opens a stream: serve runs at the server, broken at the client.
func (w *world) dial(client, server *process, serve func(*stream), broken func(*port.Error)) *stream {
	s := &stream{
		world: w, client: client, server: server,
		clientLife: client.life, serverLife: server.life, broken: broken, cutAfter: -1,
	}
	client.hold(s)
	server.hold(s)
	way := w.latency(client, server)
	switch {
	case !w.reachable(client, server):
		w.after(connectTimeout, func() { s.fail(notReached(server)) })
	case !server.up:
		w.after(way, func() { s.fail(notReached(server)) })
	case w.cutsRequest():
		// The request was written, and the connection is cut before it arrives.
		w.after(way, func() { s.fail(cutOff()) })
	default:
		s.cutAfter = w.cutsAnswer()
		w.after(way, func() { s.arrive(serve) })
	}
	return s
}

// arrive hands the request to the server.
func (s *stream) arrive(serve func(*stream)) {
	switch {
	case s.closed:
	case !s.server.up || s.server.life != s.serverLife:
		s.fail(notReached(s.server))
	case !s.world.reachable(s.client, s.server):
		s.fail(cutOff())
	default:
		serve(s)
		if s.cutAfter == 0 {
			s.cut()
		}
	}
}

func notReached(server *process) *port.Error {
	return port.NewError(port.NotRun, port.CodeUnavailable, "%s can't be reached", server.name)
}

func cutOff() *port.Error {
	return port.NewError(port.MayHaveRun, port.CodeUnavailable, "the connection was lost")
}

// hold notes a stream of the process.
func (p *process) hold(s *stream) {
	if len(p.streams) >= 64 && len(p.streams) == cap(p.streams) {
		p.streams = slices.DeleteFunc(p.streams, func(s *stream) bool { return s.closed })
	}
	p.streams = append(p.streams, s)
}

// answer sends a message from the server to the client. Last ends the stream.
func (s *stream) answer(last bool, take func()) {
	if s.closed {
		s.world.count.lateAnswers++
		return
	}
	if s.cutAfter >= 0 && s.messages >= s.cutAfter {
		s.cut()
		return
	}
	s.messages++
	s.arrived = max(s.arrived, s.world.queue.Now()+s.world.latency(s.server, s.client))
	s.world.after(s.arrived-s.world.queue.Now(), func() {
		if s.closed || s.client.life != s.clientLife {
			s.world.count.lateAnswers++
			return
		}
		if s.lost || !s.world.reachable(s.client, s.server) {
			s.lose()
			return
		}
		if last {
			s.closed = true
		}
		take()
	})
}

// lose notes that a message was lost: nothing arrives after it, and the silence
// ends the stream.
func (s *stream) lose() {
	if !s.lost {
		s.lost = true
		s.world.after(silenceTimeout, s.cut)
	}
}

// close is the client's end of a stream before its answer is whole: the server
// hears of it.
func (s *stream) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.tellLeft(s.world.latency(s.client, s.server))
}

// cut breaks the connection: both sides hear of it, after what is on its way.
func (s *stream) cut() {
	way := max(s.arrived-s.world.queue.Now(), s.world.latency(s.client, s.server))
	s.world.after(way, func() { s.fail(cutOff()) })
	s.tellLeft(0)
}

// fail ends the stream at the client.
func (s *stream) fail(failure *port.Error) {
	if s.closed {
		return
	}
	s.closed = true
	if s.client.up && s.client.life == s.clientLife && s.broken != nil {
		s.broken(failure)
	}
}

// tellLeft lets the server know that the client is gone.
func (s *stream) tellLeft(after time.Duration) {
	s.world.after(after, func() {
		if s.server.up && s.server.life == s.serverLife && s.left != nil {
			left := s.left
			s.left = nil
			left()
		}
	})
}

// kill ends a process at once.
func (w *world) kill(p *process) {
	p.up = false
	p.life++
	streams := p.streams
	p.streams = nil
	for _, s := range streams {
		switch {
		case s.closed:
		case s.client == p:
			s.closed = true
			s.tellLeft(w.latency(s.client, s.server))
		default:
			s.cut()
		}
	}
}

// breakCut lets streams that cross the border of a cut zone break by silence.
func (w *world) breakCut() {
	for _, p := range w.processes {
		for _, s := range p.streams {
			if s.client == p && !s.closed && !w.reachable(s.client, s.server) {
				w.after(silenceTimeout, func() {
					if !s.closed {
						s.cut()
					}
				})
			}
		}
	}
}
