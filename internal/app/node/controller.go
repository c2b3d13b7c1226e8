package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// controller owns the node's state. Only the control goroutine touches it.
type controller struct {
	node  *Node
	state *nodestate.State
	polls map[port.ReplicaID]*enginePoll
}

// event is something the control goroutine takes in.
type event interface{ apply(*controller, time.Time) }

func newController(n *Node, now time.Time) *controller {
	return &controller{
		node:  n,
		polls: make(map[port.ReplicaID]*enginePoll),
		state: nodestate.New(nodestate.Config{
			Self: n.config.ID, Zone: n.config.Zone, Region: n.config.Region,
			PeerAddress: n.peerAddress, HTTPAddress: n.httpAddress,
			Incarnation:    uint64(now.UnixMilli()),
			Summary:        n.config.Intervals.Summary,
			Aggregate:      n.config.Intervals.Aggregate,
			Report:         n.config.Intervals.Report,
			Load:           n.config.Intervals.Load,
			NewGate:        n.newGate,
			ReplicaCounter: func(id port.ReplicaID) nodestate.Counter { return n.counters.of(id) },
			ZoneCounter:    func(key nodestate.ZonePool) nodestate.Counter { return n.crossing.of(key) },
			MessageBytes:   summaryBytes,
		}, now),
	}
}

func (n *Node) newGate(pool *port.Pool) nodestate.Gate {
	profile := scheduling.Generation()
	if pool.Kind == port.PoolApplication {
		profile = scheduling.Application()
	}
	return gate.New(profile, n.config.Seed)
}

// gateOf gives the gate of a route; nil where the node is the home of none of
// the pool's replicas.
func gateOf(route *nodestate.PoolRoute) *gate.Gate {
	held, _ := route.Gate.(*gate.Gate)
	return held
}

// summaryBytes gives the size of a summary as it is sent; one that can't be sent
// has none.
func summaryBytes(summary membership.HomeSummary) int {
	body, err := wire.Marshal(summary)
	if err != nil {
		return 0
	}
	return len(body)
}

// run is the control goroutine.
func (c *controller) run() {
	defer close(c.node.controllerDone)
	ticker := time.NewTicker(c.node.config.Intervals.Tick)
	defer ticker.Stop()
	for {
		select {
		case next := <-c.node.events:
			c.take(next)
		case now := <-ticker.C:
			c.tick(now)
		case <-c.node.stopped:
			c.stopPolls()
			return
		}
	}
}

// take applies an event and those that wait behind it, and then publishes once.
func (c *controller) take(next event) {
	now := time.Now()
	next.apply(c, now)
	for range len(c.node.events) {
		select {
		case further := <-c.node.events:
			further.apply(c, now)
		default:
		}
	}
	c.publish(now)
}

// publish rebuilds what follows from the state when it is due, and carries out
// what the state asks for.
func (c *controller) publish(now time.Time) {
	began := time.Now()
	if c.state.RebuildIfDue(now) {
		c.state.SetRebuildCost(time.Since(began))
	}
	c.carryOut(c.state.Flush())
}

func (c *controller) tick(now time.Time) {
	c.publish(now)
	c.state.Tick(now, !c.node.reporting.Load())
	c.carryOut(c.state.Flush())
	c.pacePolls(now)
	for pool, waiting := range c.state.Waiting() {
		c.node.metrics.Queued(pool, waiting)
	}
}

// carryOut does what the state asks for.
func (c *controller) carryOut(output nodestate.Output) {
	n := c.node
	if output.Snapshot != nil {
		n.useSnapshot(output.Snapshot)
	}
	for _, id := range output.Stopped {
		c.stopPoll(id)
	}
	for _, poll := range output.Started {
		c.startPoll(poll)
	}
	for _, message := range output.Messages {
		n.peers.send(message.To.PeerAddress, methodOf(message.Body), message.Body)
	}
	for _, decided := range output.Decisions {
		n.recorder.record(decided)
	}
	for _, pool := range output.RemovedPools {
		n.metrics.Forget(pool)
	}
	if output.Report != nil {
		n.report(*output.Report)
	}
}

// methodOf gives the method that a one-way message goes to.
func methodOf(body any) string {
	switch body.(type) {
	case membership.HomeSummary:
		return peerapi.MethodSummary
	case nodestate.AggregatesMessage:
		return peerapi.MethodAggregates
	case nodestate.MachinesMessage:
		return methodMachines
	case nodestate.OutcomesMessage:
		return peerapi.MethodOutcomes
	default:
		return peerapi.MethodMember
	}
}

// useSnapshot publishes a snapshot to traffic, and forgets the counters of what
// is no longer configured.
func (n *Node) useSnapshot(next *nodestate.Snapshot) {
	n.counters.retain(func(id port.ReplicaID) bool { _, configured := next.Replicas[id]; return configured })
	n.crossing.retain(func(key nodestate.ZonePool) bool { _, configured := viewPool(next.View, key.Pool); return configured })
	n.snapshot.Store(next)
}

// report tells control about this node. The call runs on a goroutine of its own;
// while it is under way no other is made.
func (n *Node) report(report port.NodeReport) {
	n.reporting.Store(true)
	n.serving.Store(&report.Serving)
	n.work.Go(func() {
		defer n.reporting.Store(false)
		asking, cancel := context.WithTimeout(n.background, n.config.Intervals.CallTimeout)
		defer cancel()
		_ = n.config.Control.Report(asking, report)
	})
}

// viewUpdate is an update of the control view.
type viewUpdate struct{ update port.ViewUpdate }

func (e viewUpdate) apply(c *controller, now time.Time) {
	n := c.node
	advanced, confirmed, err := c.state.ViewUpdate(now, e.update)
	if err != nil {
		n.restartWatch(c.state.Position())
		return
	}
	if confirmed {
		n.confirmedUntil.Store(int64(boottime.Now() + n.config.Intervals.ConfigurationLease))
	}
	if advanced {
		view := c.state.View()
		n.peers.retain(view.Nodes)
		n.backEnds.retain(view.Configuration.Replicas)
	}
}

// memberMessage is a message of the failure detector.
type memberMessage struct{ message membership.Message }

func (e memberMessage) apply(c *controller, now time.Time) { c.state.HandleMembership(now, e.message) }

// summaryMessage is what a home tells its zone.
type summaryMessage struct{ summary membership.HomeSummary }

func (e summaryMessage) apply(c *controller, now time.Time) { c.state.HandleSummary(now, e.summary) }

// aggregatesTold is what another zone tells.
type aggregatesTold struct{ message nodestate.AggregatesMessage }

func (e aggregatesTold) apply(c *controller, now time.Time) { c.state.HandleAggregates(now, e.message) }

// drainStarted makes the node tell its peers that it stops.
type drainStarted struct{}

func (drainStarted) apply(c *controller, now time.Time) { c.state.Drain(now) }
