package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/port"
)

// stateTick is the time between two ticks of a node's state. A node ticks every
// 50 ms and rebuilds what its traffic sees up to ten times a second; to keep the
// emulation within minutes, a hollow one does so twice a second.
const stateTick = 500 * time.Millisecond

// seekInterval is the time between two looks for free leases.
const seekInterval = 200 * time.Millisecond

// node is a hollow node: the real state machines of a node without its sockets
// and its callers. What traffic sees is the snapshot.
type node struct {
	endpoint
	fleet    *Fleet
	number   int
	address  port.NodeAddress
	state    *nodestate.State
	snapshot *nodestate.Snapshot
	gates    map[port.PoolName]*poolGate
	chooser  *placement.Chooser
	counters map[port.ReplicaID]*counter
	crossing map[nodestate.ZonePool]*counter
	polled   []*engine // by id
	seeker   *poolworker.Seeker
	workers  []*worker

	// members are the control members, nearest first; current is the one
	// watched.
	members        []*member
	current        int
	watchNumber    uint64
	confirmedUntil time.Duration
	heardConfirmed time.Duration
	reporting      bool
	// behindSince is when the node came back, after a restart or a cut, until
	// it shows the newest revision; -1 means that it is up to date.
	behindSince time.Duration
}

// counter counts what a node sent to a replica or a zone.
type counter struct{ counts placement.Counts }

// Counts implements nodestate.Counter.
func (c *counter) Counts() placement.Counts { return c.counts }

// start brings the process up with nothing known.
func (n *node) start() {
	f := n.fleet
	n.up = true
	n.incarnation++
	n.gates, n.polled, n.workers = make(map[port.PoolName]*poolGate), nil, nil
	n.counters, n.crossing = make(map[port.ReplicaID]*counter), make(map[nodestate.ZonePool]*counter)
	n.chooser = placement.New(rand.New(rand.NewPCG(f.options.Seed, uint64(n.number)<<16+n.incarnation)))
	n.seeker = poolworker.NewSeeker(n.address.ID)
	n.snapshot = nodestate.EmptySnapshot(n.address.Zone)
	n.state = nodestate.New(n.config(), f.wall())
	n.current, n.reporting = 0, false
	n.confirmedUntil, n.behindSince = 0, f.Now()
	f.network.clients[n.number] = nil
	n.openWatch()
	n.schedule()
}

func (n *node) config() nodestate.Config {
	return nodestate.Config{
		Self: n.address.ID, Zone: n.address.Zone, Region: n.place.regionName(),
		PeerAddress: n.address.PeerAddress, HTTPAddress: n.address.HTTPAddress,
		Incarnation: uint64(n.fleet.wall().UnixMilli()),
		Summary:     appnode.DefaultSummary, Aggregate: appnode.DefaultAggregate, Report: appnode.DefaultReport,
		Load:           n.fleet.options.LoadInterval,
		NewGate:        n.newGate,
		ReplicaCounter: func(id port.ReplicaID) nodestate.Counter { return n.counter(id) },
		ZoneCounter:    func(key nodestate.ZonePool) nodestate.Counter { return n.crossingCounter(key) },
		MessageBytes:   n.messageBytes,
	}
}

func (n *node) newGate(pool *port.Pool) nodestate.Gate {
	made := newPoolGate(n)
	n.gates[pool.Name] = made
	return made
}

func (n *node) messageBytes(summary membership.HomeSummary) int {
	body, err := wire.Marshal(summary)
	if err != nil {
		n.fleet.violate("encoding", "summary: %v", err)
	}
	return len(body)
}

func (n *node) counter(id port.ReplicaID) *counter {
	known := n.counters[id]
	if known == nil {
		known = &counter{}
		n.counters[id] = known
	}
	return known
}

func (n *node) crossingCounter(key nodestate.ZonePool) *counter {
	known := n.crossing[key]
	if known == nil {
		known = &counter{}
		n.crossing[key] = known
	}
	return known
}

// schedule starts the periodic work, each at a phase of its own.
func (n *node) schedule() {
	f := n.fleet
	phase := func(period time.Duration) time.Duration { return f.between(0, period) }
	f.every(&n.endpoint, workState, phase(stateTick), n.tick)
	f.every(&n.endpoint, workWatch, controlclient.DefaultSilenceTimeout, n.checkSilence)
	f.every(&n.endpoint, workLeases, phase(seekInterval), n.seek)
	f.every(&n.endpoint, workEngines, phase(f.options.LoadInterval), n.pollEngines)
	f.every(&n.endpoint, workPings, phase(wire.DefaultPingInterval), n.ping)
	f.every(&n.endpoint, workPlacement, phase(placementInterval), n.samplePlacement)
}

// stop takes the process down.
func (n *node) stop() {
	n.up = false
	for _, held := range n.workers {
		held.abandon()
	}
	n.workers = nil
}

func (n *node) tick() time.Duration {
	began := time.Now()
	n.state.Tick(n.fleet.wall(), !n.reporting)
	took := time.Since(began)
	// The pace of rebuilds follows this fixed cost, not the clock, so that equal
	// seeds give equal runs.
	n.state.RebuildCost(assumedRebuild)
	if n.flush() {
		n.fleet.rebuilds.count++
		n.fleet.rebuilds.busy += took
	}
	return stateTick
}

// assumedRebuild stands for the time that a rebuild takes.
const assumedRebuild = 4 * time.Millisecond

// flush carries out what the state asks for, and says whether what traffic sees
// was made anew.
func (n *node) flush() (rebuilt bool) {
	output := n.state.Flush()
	for _, envelope := range output.Messages {
		n.tell(n.fleet.nodeOf(envelope.To.ID), envelope.Body)
	}
	if output.Snapshot != nil {
		before := n.snapshot.View
		n.snapshot = output.Snapshot
		n.fleet.inForce.shows(n, before, n.snapshot.View)
	}
	for _, id := range output.Stopped {
		n.stopPolling(id)
	}
	for _, started := range output.Started {
		n.startPolling(started.Replica)
	}
	if output.Report != nil {
		n.report(*output.Report)
	}
	return output.Snapshot != nil
}

// tell sends a one-way message of the state to another node.
func (n *node) tell(to *node, body any) {
	f := n.fleet
	switch body := body.(type) {
	case membership.Message:
		f.send(&n.endpoint, &to.endpoint, message{workMembership, wire.KindOneWay, peerapi.MethodMember, body}, func(data []byte) {
			var received membership.Message
			f.decode(data, &received)
			to.state.Member(f.wall(), received)
			to.flush()
		})
	case membership.HomeSummary:
		f.send(&n.endpoint, &to.endpoint, message{workSummaries, wire.KindOneWay, peerapi.MethodSummary, body}, func(data []byte) {
			var received membership.HomeSummary
			f.decode(data, &received)
			to.state.Summary(f.wall(), received)
			to.flush()
		})
	case nodestate.AggregatesMessage:
		f.send(&n.endpoint, &to.endpoint, message{workAggregates, wire.KindOneWay, peerapi.MethodAggregates, body}, func(data []byte) {
			var received nodestate.AggregatesMessage
			f.decode(data, &received)
			to.state.Aggregates(f.wall(), received)
			to.flush()
		})
	case nodestate.OutcomesMessage:
		f.send(&n.endpoint, &to.endpoint, message{workSummaries, wire.KindOneWay, peerapi.MethodOutcomes, body}, func(data []byte) {
			var received nodestate.OutcomesMessage
			f.decode(data, &received)
			to.state.Outcomes(f.wall(), received.Outcomes)
		})
	}
}

// openWatch asks the present member for what the observer lacks.
func (n *node) openWatch() {
	n.watchNumber++
	n.heardConfirmed = n.fleet.Now()
	number, to := n.watchNumber, n.members[n.current]
	request := controlclient.WatchRequest{After: n.state.Position(), Node: n.address.ID}
	n.fleet.send(&n.endpoint, &to.endpoint, message{workWatch, wire.KindCall, controlclient.MethodWatch, request}, func(body []byte) {
		var received controlclient.WatchRequest
		n.fleet.decode(body, &received)
		to.serveWatch(received, n, number)
	})
}

// checkSilence moves to the next member when the present one has confirmed
// nothing for too long.
func (n *node) checkSilence() time.Duration {
	silence := n.fleet.Now() - n.heardConfirmed
	if silence >= controlclient.DefaultSilenceTimeout {
		n.current = (n.current + 1) % len(n.members)
		n.openWatch()
		return controlclient.DefaultSilenceTimeout
	}
	return controlclient.DefaultSilenceTimeout - silence
}

// takeUpdate takes an update of the present watch.
func (n *node) takeUpdate(number uint64, update port.ViewUpdate) {
	if number != n.watchNumber {
		return
	}
	_, confirmed, err := n.state.ViewUpdate(n.fleet.wall(), update)
	if err != nil {
		n.openWatch()
		return
	}
	if confirmed {
		n.heardConfirmed = n.fleet.Now()
		n.confirmedUntil = n.fleet.Now() + appnode.DefaultConfigurationLease
	}
	n.flush()
}

// confirmed says whether the configuration lease holds.
func (n *node) confirmed() bool { return n.fleet.Now() < n.confirmedUntil }

// report tells the present member about this node.
func (n *node) report(report port.NodeReport) {
	n.reporting = true
	to := n.members[n.current]
	n.fleet.call(&n.endpoint, &to.endpoint, message{workReports, wire.KindCall, controlclient.MethodReport, report}, appnode.DefaultCallTimeout,
		func(body []byte, reply func(any)) {
			var received port.NodeReport
			n.fleet.decode(body, &received)
			to.takeReport(received)
			reply(nil)
		}, func([]byte, bool) { n.reporting = false })
}

// propose sends a command through the present member; done gets an error if no
// answer came.
func (n *node) propose(kind work, command port.Command, timeout time.Duration, done func(port.Result, *port.Error)) {
	to := n.members[n.current]
	call := message{kind, wire.KindCall, controlclient.MethodPropose, command}
	n.fleet.call(&n.endpoint, &to.endpoint, call, timeout, func(body []byte, reply func(any)) {
		var received port.Command
		n.fleet.decode(body, &received)
		to.propose(received, false, func(result port.Result, done bool) { reply(resultOrNothing(result, done)) })
	}, func(body []byte, answered bool) {
		result, answered := n.fleet.decodeResult(body, answered)
		if !answered {
			done(result, port.NewError(port.MayHaveRun, port.CodeUnavailable, "no answer of the member"))
			return
		}
		done(result, nil)
	})
}

// seek starts workers for the leases that are free when it is this node's turn.
func (n *node) seek() time.Duration {
	if !n.confirmed() {
		return seekInterval
	}
	running := func(pool port.PoolName) bool { return n.worker(pool) != nil }
	for _, pool := range n.seeker.Wanted(n.fleet.wall(), n.snapshot.View, running) {
		n.startWorker(pool)
	}
	return seekInterval
}

// ping counts a ping and its answer on every connection that this node opened.
func (n *node) ping() time.Duration {
	for _, peer := range n.fleet.network.clients[n.number] {
		if peer.up {
			n.fleet.countPing(&n.endpoint, peer)
		}
	}
	return wire.DefaultPingInterval
}
