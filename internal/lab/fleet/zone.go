package fleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// homeTable says which node is the home of a replica: within the own zone by the
// failure detector, elsewhere by the view.
type homeTable struct {
	own    *membership.Assigner
	byZone map[port.ZoneName]*membership.Assigner
}

func newHomeTable(own port.ZoneName, nodes []port.NodeAddress, live []port.NodeID) homeTable {
	ids := make(map[port.ZoneName][]port.NodeID, zones)
	for _, node := range nodes {
		if !node.Draining {
			ids[node.Zone] = append(ids[node.Zone], node.ID)
		}
	}
	if len(live) > 0 {
		ids[own] = live
	}
	table := homeTable{byZone: make(map[port.ZoneName]*membership.Assigner, len(ids))}
	for zone, members := range ids {
		table.byZone[zone] = membership.NewAssigner(members)
	}
	table.own = table.byZone[own]
	return table
}

// home gives the home of a replica; false means that its zone has no node.
func (t homeTable) home(zone port.ZoneName, replica port.ReplicaID) (port.NodeID, bool) {
	homes := t.byZone[zone]
	if homes == nil {
		return "", false
	}
	return homes.Home(replica)
}

// assignHomes finds out anew which replicas this node is the home of.
func (n *node) assignHomes() {
	view := n.observer.View()
	live := n.detector.Live()
	n.homes = newHomeTable(n.address.Zone, view.Nodes, live)
	n.owned = n.owned[:0]
	for _, replica := range view.Configuration.Replicas {
		if replica.Zone != n.address.Zone {
			continue
		}
		if home, found := n.homes.home(replica.Zone, replica.ID); found && home == n.address.ID {
			n.owned = append(n.owned, n.fleet.engineOf(replica))
		}
	}
	n.summaries.Retain(live)
}

// summary sums up the replicas that this node is the home of.
func (n *node) summary() membership.HomeSummary {
	n.sequence++
	summary := membership.HomeSummary{Node: n.address.ID, Incarnation: n.incarnationTime, Sequence: n.sequence}
	for _, owned := range n.owned {
		summary.Replicas = append(summary.Replicas, owned.summary())
	}
	return summary
}

// tellZone sends the own summary to the zone and gives the time to the next one.
func (n *node) tellZone() time.Duration {
	summary := n.summary()
	n.summaries.Apply(n.fleet.wall(), summary)
	sent := n.toZone(message{workSummaries, wire.KindOneWay, methodSummary, summary}, func(to *node, body []byte) {
		var received membership.HomeSummary
		n.fleet.decode(body, &received)
		to.summaries.Apply(n.fleet.wall(), received)
	})
	body, err := wire.Marshal(summary)
	if err != nil {
		n.fleet.violate("encoding", "summary: %v", err)
	}
	return membership.SummaryInterval(appnode.DefaultSummary, sent, len(body), membership.SummaryBudget)
}

// toZone sends a message to the other live nodes of the zone.
func (n *node) toZone(sent message, receive func(to *node, body []byte)) int {
	count := 0
	for _, id := range n.detector.Live() {
		if id == n.address.ID {
			continue
		}
		to := n.fleet.nodeOf(id)
		n.fleet.send(&n.endpoint, &to.endpoint, sent, func(body []byte) { receive(to, body) })
		count++
	}
	return count
}

// tellOtherZones sends the aggregates of the pools that this node speaks for to
// the nodes that relay them elsewhere.
func (n *node) tellOtherZones() time.Duration {
	if len(n.homes.byZone) < 2 || n.homes.own == nil {
		return appnode.DefaultAggregate
	}
	n.askForAggregates()
	now := n.fleet.wall()
	for _, aggregate := range n.summaries.Aggregate(now, n.homes.own) {
		if speaker, found := n.homes.own.HomeOf(string(aggregate.Pool)); !found || speaker != n.address.ID || !n.teller.Due(now, aggregate) {
			continue
		}
		n.sequence++
		aggregate.Zone, aggregate.Node = n.address.Zone, n.address.ID
		aggregate.Incarnation, aggregate.Sequence = n.incarnationTime, n.sequence
		n.tellSpeakers(aggregate)
	}
	return appnode.DefaultAggregate
}

// asksForAggregates is how often a node that has started asks for what the others
// of its zone relay, as the node process does.
const asksForAggregates = 2

func (n *node) askForAggregates() {
	if n.asked == asksForAggregates {
		return
	}
	n.asked++
	asking := aggregatesMessage{Asker: n.address.ID}
	n.toZone(message{workAggregates, wire.KindOneWay, methodAggregates, asking}, func(to *node, body []byte) { to.takeAggregates(body) })
}

func (n *node) tellNewcomer(asker port.NodeID) {
	relayed := n.aggregates.RelayedBy(n.address.ID, n.detector.Assigner())
	if len(relayed) == 0 {
		return
	}
	to := n.fleet.nodeOf(asker)
	sent := aggregatesMessage{Aggregates: relayed, Relayed: true}
	n.fleet.send(&n.endpoint, &to.endpoint, message{workAggregates, wire.KindOneWay, methodAggregates, sent}, to.takeAggregates)
}

func (n *node) tellSpeakers(aggregate membership.PoolAggregate) {
	sent := aggregatesMessage{Aggregates: []membership.PoolAggregate{aggregate}}
	for _, zone := range n.zoneNames() {
		if zone == n.address.Zone {
			continue
		}
		id, found := n.homes.byZone[zone].Relay(n.address.Zone, aggregate.Pool)
		if !found {
			continue
		}
		to := n.fleet.nodeOf(id)
		n.fleet.send(&n.endpoint, &to.endpoint, message{workAggregates, wire.KindOneWay, methodAggregates, sent}, to.takeAggregates)
	}
}

func (n *node) zoneNames() []port.ZoneName {
	names := make([]port.ZoneName, 0, len(n.homes.byZone))
	for zone := range n.homes.byZone {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}

// takeAggregates takes what another zone tells, and relays it to the own zone
// if it came from there.
func (n *node) takeAggregates(body []byte) {
	var received aggregatesMessage
	n.fleet.decode(body, &received)
	if received.Asker != "" {
		n.tellNewcomer(received.Asker)
		return
	}
	fresh := false
	for _, aggregate := range received.Aggregates {
		if aggregate.Zone != n.address.Zone && n.aggregates.Apply(n.fleet.wall(), aggregate) {
			fresh = true
		}
	}
	if !fresh || received.Relayed {
		return
	}
	relayed := aggregatesMessage{Aggregates: received.Aggregates, Relayed: true}
	n.toZone(message{workAggregates, wire.KindOneWay, methodAggregates, relayed}, func(to *node, body []byte) { to.takeAggregates(body) })
}
