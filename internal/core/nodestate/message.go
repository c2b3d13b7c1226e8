package nodestate

import (
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// AggregatesMessage carries what a zone tells others. Relayed is set on its
// second way, from an aggregator of the other zone to its peers.
type AggregatesMessage struct {
	Aggregates []membership.PoolAggregate `cbor:"1,keyasint"`
	Relayed    bool                       `cbor:"2,keyasint,omitempty"`
	// Asker, if set, is a node that has just started and asks for what the
	// receiver relays.
	Asker port.NodeID `cbor:"3,keyasint,omitempty"`
}

// MachinesMessage tells the zone which machines the list shows as leaving.
type MachinesMessage struct {
	Node    port.NodeID    `cbor:"1,keyasint"`
	Leaving []port.Machine `cbor:"2,keyasint,omitempty"`
}

// OutcomesMessage tells a home how calls to its replicas ended.
type OutcomesMessage struct {
	Outcomes []CallOutcome `cbor:"1,keyasint"`
}

// CallOutcome is the end of one call to a replica.
type CallOutcome struct {
	Replica       port.ReplicaID `cbor:"1,keyasint"`
	Failed        bool           `cbor:"2,keyasint,omitempty"`
	LatencyMicros int64          `cbor:"3,keyasint,omitempty"`
}

// PoolStateCall asks a home for its replicas of an engine pool. Out lists the
// replicas that the pool's weights rollout keeps out of routing, under Fence.
type PoolStateCall struct {
	Pool  port.PoolName    `cbor:"1,keyasint"`
	Fence port.Epoch       `cbor:"2,keyasint"`
	Out   []port.ReplicaID `cbor:"3,keyasint,omitempty"`
}

// PoolStateAnswer answers a PoolStateCall.
type PoolStateAnswer struct {
	Replicas []ReplicaState `cbor:"1,keyasint,omitempty"`
}

// ReplicaState is a replica as its home sees it.
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

// Output is what a call asks its caller to do.
type Output struct {
	Messages  []Envelope
	Decisions []port.Decision
	// Snapshot, if set, replaces the one before.
	Snapshot *Snapshot
	// Started and Stopped are engines to poll for load and cache events from now
	// on, or no longer.
	Started []Poll
	Stopped []port.ReplicaID
	// Report, if set, goes to control.
	Report *port.NodeReport
	// ForgottenPools are no longer configured.
	ForgottenPools []port.PoolName
}

// Poll is an engine to be polled. Its cache events go to Gate.
type Poll struct {
	Replica port.Replica
	Gate    Gate
}
