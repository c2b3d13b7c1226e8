package peerapi

import "github.com/loomgrade/loomgrade/internal/port"

// Methods that a node serves to its peers.
const (
	// MethodGenerate takes a GenerateCall and streams GenerateEvent.
	MethodGenerate = "node.generate"
	// MethodOrder takes an OrderCall and answers a port.LoadReport.
	MethodOrder = "node.order"
	// MethodPoolState takes a nodestate.PoolStateCall and answers a
	// nodestate.PoolStateAnswer.
	MethodPoolState = "node.pool_state"

	// MethodMember takes a membership.Message, one way.
	MethodMember = "node.member"
	// MethodSummary takes a membership.HomeSummary, one way.
	MethodSummary = "node.summary"
	// MethodAggregates takes a nodestate.AggregatesMessage, one way.
	MethodAggregates = "node.aggregates"
	// MethodOutcomes takes a nodestate.OutcomesMessage, one way.
	MethodOutcomes = "node.outcomes"
)

// GenerateCall requests a generation on a replica of which the callee is the home node
// or, without a replica, on one of the callee's zone.
type GenerateCall struct {
	Request port.GenerateRequest `cbor:"1,keyasint"`
	// TenantShare is the share of a queue's slots that the tenant may use.
	TenantShare float64          `cbor:"2,keyasint,omitempty"`
	Attempt     int              `cbor:"3,keyasint"`
	Exclude     []port.ReplicaID `cbor:"4,keyasint,omitempty"`
	Avoid       port.ReplicaID   `cbor:"5,keyasint,omitempty"`
}

// GenerateEvent is one step of a generation; exactly one field is set.
type GenerateEvent struct {
	Decision *port.Decision      `cbor:"1,keyasint,omitempty"`
	Chunk    *port.GenerateChunk `cbor:"2,keyasint,omitempty"`
}

// OrderCall requests that a replica's home node forwards a fenced order to it.
type OrderCall struct {
	Replica port.ReplicaID `cbor:"1,keyasint"`
	Order   port.Order     `cbor:"2,keyasint"`
}
