package fleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// node is a hollow node: the real state machines of a node without its sockets
// and its callers.
type node struct {
	endpoint
	fleet      *Fleet
	number     int
	address    port.NodeAddress
	observer   *controlstate.Observer
	detector   *membership.Detector
	summaries  *membership.Summaries
	aggregates *membership.Aggregates
	teller     *membership.AggregateTeller
	asked      int // for aggregates
	// members are the control members, nearest first; current is the one
	// watched.
	members        []*member
	current        int
	watchNumber    uint64
	confirmedUntil time.Duration
	heardConfirmed time.Duration

	incarnationTime uint64
	sequence        uint64
	homes           homeTable
	owned           []*engine
	// held are the pools that this node coordinates.
	held []*coordination
	free map[port.PoolName]time.Duration
	// behindSince is when the node came back, after a restart or a cut, until
	// it shows the newest revision; -1 means that it is up to date.
	behindSince time.Duration
}

// start brings the process up with nothing known.
func (n *node) start() {
	now := n.fleet.wall()
	n.up = true
	n.incarnation++
	n.incarnationTime = uint64(now.UnixMilli())
	n.observer = controlstate.NewObserver()
	n.detector = membership.NewDetector(membership.Config{
		Self: n.address.ID, Zone: n.address.Zone, Incarnation: n.incarnationTime,
	}, now)
	n.summaries, n.aggregates = membership.NewSummaries(), membership.NewAggregates()
	n.teller, n.asked = membership.NewAggregateTeller(), 0
	n.current, n.sequence = 0, 0
	n.homes, n.owned, n.held = homeTable{}, nil, nil
	n.free = make(map[port.PoolName]time.Duration)
	n.confirmedUntil, n.behindSince = 0, n.fleet.now
	n.fleet.network.clients[n.number] = nil
	n.openWatch()
	n.schedule()
}

// schedule starts the periodic work, each at a phase of its own.
func (n *node) schedule() {
	phase := func(period time.Duration) time.Duration { return n.fleet.between(0, period) }
	f := n.fleet
	f.every(&n.endpoint, workMembership, phase(membership.DefaultInterval), n.beat)
	f.every(&n.endpoint, workSummaries, phase(time.Second), n.tellZone)
	f.every(&n.endpoint, workAggregates, phase(appnode.DefaultAggregate), n.tellOtherZones)
	f.every(&n.endpoint, workReports, phase(appnode.DefaultReport), n.report)
	f.every(&n.endpoint, workWatch, controlclient.DefaultSilenceTimeout, n.checkSilence)
	f.every(&n.endpoint, workLeases, phase(leaseInterval), n.lookForLeases)
	f.every(&n.endpoint, workEngines, phase(time.Second), n.pollEngines)
	f.every(&n.endpoint, workPings, phase(wire.DefaultPingInterval), n.ping)
	f.every(&n.endpoint, workPlacement, phase(placementInterval), n.placeOne)
}

// stop takes the process down.
func (n *node) stop() {
	n.up = false
	n.loseAll()
}

func (n *node) beat() time.Duration {
	n.handle(n.detector.Tick(n.fleet.wall()))
	return max(time.Millisecond, n.detector.NextTick().Sub(n.fleet.wall()))
}

// handle carries out what the failure detector asks for.
func (n *node) handle(output membership.Output) {
	for _, envelope := range output.Messages {
		to := n.fleet.nodeOf(envelope.To)
		n.fleet.send(&n.endpoint, &to.endpoint, message{workMembership, wire.KindOneWay, methodMember, envelope.Message}, func(body []byte) {
			var received membership.Message
			n.fleet.decode(body, &received)
			to.handle(to.detector.Receive(n.fleet.wall(), received))
		})
	}
	if len(output.Changes) > 0 {
		n.assignHomes()
	}
}

// openWatch asks the present member for what the observer lacks.
func (n *node) openWatch() {
	n.watchNumber++
	n.heardConfirmed = n.fleet.now
	number, to := n.watchNumber, n.members[n.current]
	request := controlclient.WatchRequest{After: n.observer.Position(), Node: n.address.ID}
	n.fleet.send(&n.endpoint, &to.endpoint, message{workWatch, wire.KindCall, controlclient.MethodWatch, request}, func(body []byte) {
		var received controlclient.WatchRequest
		n.fleet.decode(body, &received)
		to.serveWatch(received, n, number)
	})
}

// checkSilence moves to the next member when the present one has confirmed
// nothing for too long.
func (n *node) checkSilence() time.Duration {
	silence := n.fleet.now - n.heardConfirmed
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
	before := n.observer.View()
	advanced, err := n.observer.Apply(update)
	if err != nil {
		n.openWatch()
		return
	}
	if n.observer.Confirms(update) {
		n.heardConfirmed = n.fleet.now
		n.confirmedUntil = n.fleet.now + appnode.DefaultConfigurationLease
	}
	if advanced {
		n.viewChanged(before, n.observer.View())
	}
}

// viewChanged lets the state machines follow the view.
func (n *node) viewChanged(before, view *port.View) {
	n.fleet.inForce.shows(n, before, view)
	nodesChanged := !slices.Equal(before.Nodes, view.Nodes)
	if nodesChanged {
		n.handle(n.detector.SetView(n.fleet.wall(), view.Nodes))
	}
	if nodesChanged || before.Revision != view.Revision {
		n.assignHomes()
	}
	for _, held := range n.held {
		held.followView(view)
	}
}

// confirmed says whether the configuration lease holds.
func (n *node) confirmed() bool { return n.fleet.now < n.confirmedUntil }

// report tells the present member about this node.
func (n *node) report() time.Duration {
	view := n.observer.View()
	report := port.NodeReport{Node: n.address, Position: view.Position, Revision: view.Revision, Serving: n.serving()}
	to := n.members[n.current]
	n.fleet.call(&n.endpoint, &to.endpoint, message{workReports, wire.KindCall, controlclient.MethodReport, report}, appnode.DefaultCallTimeout,
		func(body []byte, reply func(any)) {
			var received port.NodeReport
			n.fleet.decode(body, &received)
			to.takeReport(received)
			reply(nil)
		}, func([]byte, bool) {})
	return appnode.DefaultReport
}

// serving counts the own home replicas by pool and version.
func (n *node) serving() []port.ServingCount {
	var counts []port.ServingCount
	for _, owned := range n.owned {
		index := slices.IndexFunc(counts, func(count port.ServingCount) bool {
			return count.Pool == owned.replica.Pool && count.Version == owned.report.Version
		})
		if index < 0 {
			counts = append(counts, port.ServingCount{Pool: owned.replica.Pool, Version: owned.report.Version})
			index = len(counts) - 1
		}
		counts[index].Replicas++
	}
	return counts
}

// propose sends a command through the present member; done gets false if no
// answer came.
func (n *node) propose(kind work, command port.Command, timeout time.Duration, done func(port.Result, bool)) {
	to := n.members[n.current]
	call := message{kind, wire.KindCall, controlclient.MethodPropose, command}
	n.fleet.call(&n.endpoint, &to.endpoint, call, timeout, func(body []byte, reply func(any)) {
		var received port.Command
		n.fleet.decode(body, &received)
		to.propose(received, false, func(result port.Result, done bool) { reply(resultOrNothing(result, done)) })
	}, func(body []byte, answered bool) { done(n.fleet.decodeResult(body, answered)) })
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
