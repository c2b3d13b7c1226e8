package fleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// sample is one attempt at a sample on its way: from the coordinator's node,
// perhaps over a node of another zone, to the home of a replica.
type sample struct {
	fleet   *Fleet
	worker  *worker
	action  coordinator.StartSample
	path    []hop
	replica port.ReplicaID
	engine  *engine
	ticket  *gate.Ticket
	ended   bool
}

// hop is a node on the way of a sample, in the incarnation that took it.
type hop struct {
	node        *node
	incarnation uint64
}

func (s *sample) pick() scheduling.Request {
	return scheduling.Request{
		Pool: s.worker.name, PromptTokens: promptBytes / 4, MaxTokens: s.action.MaxTokens, MinVersion: s.action.MinVersion,
	}
}

// accept lets a node choose: a replica of its zone or, unless the sample crossed
// zones already, a node of another zone that has more room.
func (s *sample) accept(at *node, crossed bool) {
	s.path = append(s.path, hop{at, at.incarnation})
	route := at.snapshot.Pools[s.worker.name]
	if route == nil {
		s.refuse(at, placement.NoReplica(nil))
		return
	}
	now := s.fleet.wall()
	zone := make([]scheduling.Candidate, 0, len(route.Zone))
	for index := range route.Zone {
		zone = append(zone, route.Zone[index].Now(now))
	}
	request := s.pick()
	request.Zone, request.Region = at.address.Zone, at.endpoint.place.regionName()
	chosen, room, refusal := at.chooser.Local(now, request, nil, zone)
	if !crossed && s.cross(at, room, refusal != nil) {
		return
	}
	if refusal != nil {
		s.refuse(at, refusal)
		return
	}
	s.replica = zone[chosen].Replica
	at.counter(s.replica).counts.Sent++
	home := s.fleet.nodeOf(zone[chosen].Home)
	if home == at {
		s.admit(at)
		return
	}
	s.forward(at, home, func() {
		s.path = append(s.path, hop{home, home.incarnation})
		s.admit(home)
	})
}

// cross sends the sample to a node of another zone if that has more room.
func (s *sample) cross(at *node, room float64, none bool) bool {
	route := at.snapshot.Pools[s.worker.name]
	offers := make([]placement.Offer, 0, len(route.Elsewhere))
	for index := range route.Elsewhere {
		offer := &route.Elsewhere[index]
		told := placement.Offer{Routable: offer.Aggregate.Routable, Room: offer.Room()}
		if len(offer.Nodes) == 0 {
			told.Routable = 0
		}
		offers = append(offers, told)
	}
	position, better := at.chooser.Zone(offers, room, none)
	if !better {
		return false
	}
	offer := &route.Elsewhere[position]
	offer.Counter.(*counter).counts.Sent++
	next := s.fleet.nodeOf(offer.Nodes[at.chooser.Draw(len(offer.Nodes))].ID)
	s.forward(at, next, func() { s.accept(next, true) })
	return true
}

// forward sends the call on to another node.
func (s *sample) forward(from, to *node, take func()) {
	call := peerapi.GenerateCall{Attempt: 1, Request: port.GenerateRequest{
		ID: port.RequestID(s.action.ID.String()), Pool: s.worker.name, Prompt: s.fleet.promptText, PromptTokens: promptBytes / 4,
		MaxTokens: s.action.MaxTokens, Seed: s.action.Seed, MinVersion: s.action.MinVersion, Safe: true, Replica: s.replica,
	}}
	if !to.up || !s.fleet.network.reaches(from.endpoint.place, to.endpoint.place) {
		s.fail(port.NewError(port.MayHaveRun, port.CodeUnavailable, "%s does not answer", to.address.ID), wire.DefaultIdleTimeout)
		return
	}
	s.fleet.send(&from.endpoint, &to.endpoint, message{workSampling, wire.KindCall, peerapi.MethodGenerate, call}, func(body []byte) {
		var received peerapi.GenerateCall
		s.fleet.decode(body, &received)
		take()
	})
}

// admit offers the sample to the gate of its replica's home.
func (s *sample) admit(home *node) {
	held := home.gates[s.worker.name]
	if held == nil {
		s.refuse(home, placement.NoReplica(nil))
		return
	}
	held.offer(s, gate.Request{ID: port.RequestID(s.action.ID.String()), Preferred: s.replica, Pick: s.pick()})
}

// generate is the sample's time at the replica, once it has a place.
func (s *sample) generate(held *poolGate) {
	f := s.fleet
	s.replica = s.ticket.Replica
	s.engine = f.engines[s.replica]
	version := s.engine.report.Version
	length := time.Duration(float64(f.options.SampleTime) * min(0.5+f.random.ExpFloat64()*0.72, longestSample))
	home, incarnation := held.node, held.node.incarnation
	f.After(length, func() {
		if !home.up || home.incarnation != incarnation {
			return
		}
		f.charge(&home.endpoint, workSampling, func() {
			held.release(s.ticket, gate.Outcome{Abandoned: s.ended, Latency: length / sampleTokens, Service: length})
			if !s.ended {
				s.back(port.GenerateChunk{Text: "text", Tokens: sampleTokens, Version: version, Finish: port.FinishStop})
			}
		})
	})
	s.progress(version)
}

// progress tells of a running sample from time to time.
func (s *sample) progress(version port.WeightVersion) {
	s.fleet.later(s.worker, progressInterval, func() {
		if s.ended {
			return
		}
		s.worker.tell(coordinator.SampleProgress{
			ID: s.action.ID, Attempt: s.action.Attempt, Replica: s.replica, Tokens: 1, Spans: []port.Span{{Version: version, Tokens: 1}},
		})
		s.progress(version)
	})
}

// back sends the last chunk the way back, one hop after the other.
func (s *sample) back(chunk port.GenerateChunk) {
	last := s.path[len(s.path)-1].node
	if len(s.path) == 1 {
		s.finish(chunk)
		return
	}
	s.path = s.path[:len(s.path)-1]
	to := s.path[len(s.path)-1].node
	s.fleet.send(&last.endpoint, &to.endpoint, message{workSampling, wire.KindData, "", peerapi.GenerateEvent{Chunk: &chunk}}, func(body []byte) {
		var received peerapi.GenerateEvent
		s.fleet.decode(body, &received)
		to.counter(s.replica).counts.Finished++
		s.back(*received.Chunk)
	})
}

func (s *sample) finish(chunk port.GenerateChunk) {
	if s.ended {
		return
	}
	s.end()
	s.worker.tell(coordinator.SampleFinished{
		ID: s.action.ID, Attempt: s.action.Attempt, Replica: s.replica, Text: chunk.Text,
		Tokens: chunk.Tokens, Spans: []port.Span{{Version: chunk.Version, Tokens: chunk.Tokens}},
	})
}

// refuse ends the attempt with a node's refusal, some time later.
func (s *sample) refuse(at *node, refusal *port.Error) {
	if s.replica != "" && at != s.path[0].node {
		s.path[0].node.counter(s.replica).counts.Finished++
	}
	s.fail(refusal, retryDelay)
}

// fail ends the attempt with an error, some time from now.
func (s *sample) fail(failure *port.Error, delay time.Duration) {
	s.fleet.later(s.worker, delay, func() {
		if s.ended {
			return
		}
		s.end()
		s.worker.tell(coordinator.SampleFailed{ID: s.action.ID, Attempt: s.action.Attempt, Replica: s.replica, Err: failure})
	})
}

func (s *sample) end() {
	s.ended = true
	s.worker.dropEnded()
}

func (s *sample) nodeLost(gone *node) {
	through := func(step hop) bool { return step.node == gone }
	if !s.ended && slices.ContainsFunc(s.path, through) {
		s.fail(port.NewError(port.MayHaveRun, port.CodeUnavailable, "%s does not answer", gone.address.ID), wire.DefaultIdleTimeout)
	}
}
