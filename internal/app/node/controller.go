package node

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/port"
)

// controller owns the node's state. Only the control goroutine touches it.
type controller struct {
	node       *Node
	observer   *controlstate.Observer
	detector   *membership.Detector
	summaries  *membership.Summaries
	aggregates *membership.Aggregates
	teller     *membership.AggregateTeller
	// gates are those of application pools and of engine pools with a replica
	// that this node is the home of.
	gates     map[port.PoolName]*gate.Gate
	trackers  map[port.PoolName]*ejection.Tracker
	homes     map[port.ReplicaID]*ownReplica
	marks     map[port.ReplicaID]placement.Mark
	zoneMarks map[zonePool]zoneMark
	// fences are the highest fences that rollouts of engine pools came with.
	fences   map[port.PoolName]port.Epoch
	leaving  *home.Leaving
	outcomes map[port.NodeID][]callOutcome

	incarnation     uint64
	sequence        uint64
	lastSummary     time.Time
	summaryInterval time.Duration
	lastAggregate   time.Time
	asked           int // for aggregates
	lastReport      time.Time
	draining        bool
	changed         bool
	homeTable       *homeTable
	rebuiltAt       time.Time
	rebuildCost     time.Duration
}

// zoneMark remembers the own counter when another zone's word came.
type zoneMark struct {
	sequence uint64
	sent     int64
}

// event is something the control goroutine takes in.
type event interface{ apply(*controller, time.Time) }

func newController(node *Node, now time.Time) *controller {
	incarnation := uint64(now.UnixMilli())
	return &controller{
		node:        node,
		observer:    controlstate.NewObserver(),
		detector:    membership.NewDetector(membership.Config{Self: node.config.ID, Zone: node.config.Zone, Incarnation: incarnation}, now),
		summaries:   membership.NewSummaries(),
		aggregates:  membership.NewAggregates(),
		teller:      membership.NewAggregateTeller(),
		gates:       make(map[port.PoolName]*gate.Gate),
		trackers:    make(map[port.PoolName]*ejection.Tracker),
		homes:       make(map[port.ReplicaID]*ownReplica),
		marks:       make(map[port.ReplicaID]placement.Mark),
		zoneMarks:   make(map[zonePool]zoneMark),
		fences:      make(map[port.PoolName]port.Epoch),
		leaving:     home.NewLeaving(),
		outcomes:    make(map[port.NodeID][]callOutcome),
		incarnation: incarnation,
		homeTable:   newHomeTable(node.config.Zone, nil, nil),
	}
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
			c.stopHomes()
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
	if c.rebuildDue(now) {
		c.rebuild(now)
	}
}

func (c *controller) tick(now time.Time) {
	c.send(c.detector.Tick(now))
	c.tickTrackers(now)
	c.changed = c.leaving.DropSilent(now) || c.changed
	if c.rebuildDue(now) {
		c.rebuild(now)
	}
	for pool, held := range c.gates {
		held.Tick(now)
		_, waiting := held.Loads()
		c.node.metrics.Queued(pool, waiting)
	}
	c.sendSummaries(now)
	c.sendAggregates(now)
	c.sendOutcomes()
	c.report(now)
}

// send carries out what the failure detector asks for.
func (c *controller) send(output membership.Output) {
	for _, envelope := range output.Messages {
		if target, known := viewNode(c.observer.View(), envelope.To); known {
			c.node.peers.send(target.PeerAddress, methodMember, envelope.Message)
		}
	}
	if len(output.Changes) > 0 {
		c.changed = true
	}
}

// viewUpdate is an update of the control view.
type viewUpdate struct{ update port.ViewUpdate }

func (e viewUpdate) apply(c *controller, now time.Time) {
	advanced, err := c.observer.Apply(e.update)
	if err != nil {
		c.node.restartWatch(c.observer.Position())
		return
	}
	if c.observer.Confirms(e.update) {
		c.node.confirmedUntil.Store(now.Add(c.node.config.Intervals.ConfigurationLease).UnixNano())
	}
	if !advanced {
		return
	}
	view := c.observer.View()
	c.send(c.detector.SetView(now, view.Nodes))
	c.tellDetector()
	c.node.peers.retain(view.Nodes)
	c.node.backEnds.retain(view.Configuration.Replicas)
	c.changed = true
}

// memberMessage is a message of the failure detector.
type memberMessage struct{ message membership.Message }

func (e memberMessage) apply(c *controller, now time.Time) {
	c.send(c.detector.Receive(now, e.message))
}

// summaryMessage is what a home tells its zone.
type summaryMessage struct{ summary membership.HomeSummary }

func (e summaryMessage) apply(c *controller, now time.Time) {
	if c.summaries.Apply(now, e.summary) {
		c.changed = true
	}
}

func (e aggregatesMessage) apply(c *controller, now time.Time) {
	if e.Asker != "" {
		c.tellNewcomer(e.Asker)
		return
	}
	fresh := false
	for _, aggregate := range e.Aggregates {
		if aggregate.Zone != c.node.config.Zone && c.aggregates.Apply(now, aggregate) {
			fresh = true
		}
	}
	if !fresh {
		return
	}
	c.changed = true
	if !e.Relayed {
		c.toZone(methodAggregates, aggregatesMessage{Aggregates: e.Aggregates, Relayed: true})
	}
}

// toZone sends a message to the other live nodes of the zone.
func (c *controller) toZone(method string, message any) int {
	view := c.observer.View()
	count := 0
	for _, id := range c.detector.Live() {
		target, known := viewNode(view, id)
		if id == c.node.config.ID || !known {
			continue
		}
		c.node.peers.send(target.PeerAddress, method, message)
		count++
	}
	return count
}

// drainStarted makes the node refuse new work and tell its peers.
type drainStarted struct{}

func (drainStarted) apply(c *controller, now time.Time) {
	c.draining = true
	c.changed = true
	c.lastReport = time.Time{}
	c.report(now)
}
