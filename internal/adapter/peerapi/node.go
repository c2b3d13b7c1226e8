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

// GenerateCall asks a node to generate on a replica that it is the home of, or,
// without a replica, on one of its zone.
type GenerateCall struct {
	Request port.GenerateRequest `cbor:"1,keyasint"`
	// TenantShare is the share of a queue's places that the tenant may take.
	TenantShare float64          `cbor:"2,keyasint,omitempty"`
	Attempt     int              `cbor:"3,keyasint"`
	Exclude     []port.ReplicaID `cbor:"4,keyasint,omitempty"`
	Avoid       port.ReplicaID   `cbor:"5,keyasint,omitempty"`
}

// GenerateEvent is one step of a generation: exactly one field is set.
type GenerateEvent struct {
	Decision *port.Decision      `cbor:"1,keyasint,omitempty"`
	Chunk    *port.GenerateChunk `cbor:"2,keyasint,omitempty"`
}

// OrderCall asks a replica's home to pass on a fenced order.
type OrderCall struct {
	Replica port.ReplicaID `cbor:"1,keyasint"`
	Order   port.Order     `cbor:"2,keyasint"`
}
