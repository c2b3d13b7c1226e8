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

// controller owns the node's state. Only the control goroutine uses it.
type controller struct {
	node  *Node
	state *nodestate.State
	polls map[port.ReplicaID]*enginePoll
}

// event is an input of the control goroutine.
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
			ReplicaCounter: func(id port.ReplicaID) nodestate.Counter { return n.replicaCounters.of(id) },
			ZoneCounter:    func(key nodestate.ZonePool) nodestate.Counter { return n.zoneCounters.of(key) },
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

// gateOf returns the gate of a route, or nil if this node is the home of none of the
// pool's replicas.
func gateOf(route *nodestate.PoolRoute) *gate.Gate {
	owned, _ := route.Gate.(*gate.Gate)
	return owned
}

// summaryBytes returns the encoded size of a summary, or 0 if it can't be encoded.
func summaryBytes(summary membership.HomeSummary) int {
	body, err := wire.Marshal(summary)
	if err != nil {
		return 0
	}
	return len(body)
}

// run handles events and periodic work until the node stops.
func (c *controller) run() {
	defer close(c.node.controllerDone)
	ticker := time.NewTicker(c.node.config.Intervals.Tick)
	defer ticker.Stop()
	for {
		select {
		case next := <-c.node.events:
			c.handleEvents(next)
		case now := <-ticker.C:
			c.tick(now)
		case <-c.node.stopped:
			c.stopPolls()
			return
		}
	}
}

// handleEvents applies an event and the queued ones, and then publishes once.
func (c *controller) handleEvents(next event) {
	now := time.Now()
	next.apply(c, now)
	for range len(c.node.events) {
		select {
		case queued := <-c.node.events:
			queued.apply(c, now)
		default:
		}
	}
	c.publish(now)
}

// publish rebuilds the snapshot if it is due, and runs the actions of the state.
func (c *controller) publish(now time.Time) {
	started := time.Now()
	if c.state.RebuildIfDue(now) {
		c.state.SetRebuildCost(time.Since(started))
	}
	c.carryOut(c.state.Flush())
}

func (c *controller) tick(now time.Time) {
	c.publish(now)
	c.state.Tick(now, !c.node.reporting.Load())
	c.carryOut(c.state.Flush())
	c.updatePollIntervals(now)
	for pool, waiting := range c.state.Waiting() {
		c.node.metrics.Queued(pool, waiting)
	}
}

// carryOut runs the actions of the state.
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
	for _, d := range output.Decisions {
		n.recorder.record(d)
	}
	for _, pool := range output.RemovedPools {
		n.metrics.RemovePool(pool)
	}
	if output.Report != nil {
		n.report(*output.Report)
	}
}

// methodOf returns the peer method of a one-way message.
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

// useSnapshot publishes a snapshot to traffic goroutines, and drops the counters of
// replicas and pools that are no longer configured.
func (n *Node) useSnapshot(next *nodestate.Snapshot) {
	n.replicaCounters.retain(func(id port.ReplicaID) bool { _, configured := next.Replicas[id]; return configured })
	n.zoneCounters.retain(func(key nodestate.ZonePool) bool { _, configured := viewPool(next.View, key.Pool); return configured })
	n.snapshot.Store(next)
}

// report sends a report to control on its own goroutine. The caller does not start
// another one while it is in flight.
func (n *Node) report(report port.NodeReport) {
	n.reporting.Store(true)
	n.serving.Store(&report.Serving)
	n.work.Go(func() {
		defer n.reporting.Store(false)
		callCtx, cancel := context.WithTimeout(n.background, n.config.Intervals.CallTimeout)
		defer cancel()
		_ = n.config.Control.Report(callCtx, report)
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

// summaryMessage is the summary that a home sends to its zone.
type summaryMessage struct{ summary membership.HomeSummary }

func (e summaryMessage) apply(c *controller, now time.Time) { c.state.HandleSummary(now, e.summary) }

// aggregatesMessage carries the aggregates of another zone.
type aggregatesMessage struct{ message nodestate.AggregatesMessage }

func (e aggregatesMessage) apply(c *controller, now time.Time) {
	c.state.HandleAggregates(now, e.message)
}

// drainStarted makes the state announce to the peers that this node is stopping.
type drainStarted struct{}

func (drainStarted) apply(c *controller, now time.Time) { c.state.Drain(now) }
