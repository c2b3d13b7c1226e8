package nodestate

import (
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// AggregatesMessage carries the aggregates of a zone to another one. Relayed is set
// on the copies that the receiving node forwards within its zone.
type AggregatesMessage struct {
	Aggregates []membership.PoolAggregate `cbor:"1,keyasint"`
	Relayed    bool                       `cbor:"2,keyasint,omitempty"`
	// Requester, if set, is a node that has just started and requests the aggregates
	// that the receiver relays.
	Requester port.NodeID `cbor:"3,keyasint,omitempty"`
}

// MachinesMessage sends a poller's list of leaving machines to the zone.
type MachinesMessage struct {
	Node    port.NodeID    `cbor:"1,keyasint"`
	Leaving []port.Machine `cbor:"2,keyasint,omitempty"`
}

// OutcomesMessage sends the outcomes of calls to the home of the replicas.
type OutcomesMessage struct {
	Outcomes []CallOutcome `cbor:"1,keyasint"`
}

// CallOutcome is the outcome of one call to a replica.
type CallOutcome struct {
	Replica       port.ReplicaID `cbor:"1,keyasint"`
	Failed        bool           `cbor:"2,keyasint,omitempty"`
	LatencyMicros int64          `cbor:"3,keyasint,omitempty"`
}

// PoolStateCall requests the state of a home's replicas of an engine pool. Excluded lists
// the replicas that the pool's weights rollout excludes from routing, under Fence.
type PoolStateCall struct {
	Pool     port.PoolName    `cbor:"1,keyasint"`
	Fence    port.Epoch       `cbor:"2,keyasint"`
	Excluded []port.ReplicaID `cbor:"3,keyasint,omitempty"`
}

// PoolStateAnswer answers a PoolStateCall.
type PoolStateAnswer struct {
	Replicas []ReplicaState `cbor:"1,keyasint,omitempty"`
}

// ReplicaState is the state of a replica as seen by its home.
type ReplicaState struct {
	Replica   port.ReplicaID  `cbor:"1,keyasint"`
	Report    port.LoadReport `cbor:"2,keyasint"`
	Reachable bool            `cbor:"3,keyasint"`
	Routable  bool            `cbor:"4,keyasint"`
	Inflight  int             `cbor:"5,keyasint"`
	Limit     int             `cbor:"6,keyasint"`
}

// Envelope is a one-way message to another node. Body is a membership.Message, a
// membership.HomeSummary, an AggregatesMessage or an OutcomesMessage.
type Envelope struct {
	To   port.NodeAddress
	Body any
}

// Output lists the actions for the caller of Flush.
type Output struct {
	Messages  []Envelope
	Decisions []port.Decision
	// Snapshot, if set, replaces the previous one.
	Snapshot *Snapshot
	// Started and Stopped are the engines whose polls for load and cache events
	// start or stop.
	Started []Poll
	Stopped []port.ReplicaID
	// Report, if set, is sent to the control service.
	Report *port.NodeReport
	// RemovedPools are the pools removed from the configuration.
	RemovedPools []port.PoolName
}

// Poll is an engine to be polled. Its cache events go to Gate.
type Poll struct {
	Replica port.Replica
	Gate    Gate
}
