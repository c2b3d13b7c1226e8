package fleet

import (
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Methods and messages of internal/app/control and internal/app/node that are
// private there. Names and fields are the same, so that they encode to the same
// bytes.
const (
	methodConsensus  = "member.consensus"
	methodForward    = "member.forward"
	methodReports    = "member.reports"
	methodMember     = "node.member"
	methodSummary    = "node.summary"
	methodAggregates = "node.aggregates"
	methodOrder      = "node.order"
	methodPoolState  = "node.pool_state"
	methodGenerate   = "node.generate"
	methodOutcomes   = "node.outcomes"
)

// empty is a request or answer without contents.
type empty struct{}

// reportsAnswer carries the reports that a member holds.
type reportsAnswer struct {
	Nodes []operatorapi.NodeReport `cbor:"1,keyasint"`
}

// orderCall asks a replica's home to pass on a fenced order.
type orderCall struct {
	Replica port.ReplicaID `cbor:"1,keyasint"`
	Order   port.Order     `cbor:"2,keyasint"`
}

// generateCall asks a node to generate on a replica that it is the home of.
type generateCall struct {
	Request     port.GenerateRequest `cbor:"1,keyasint"`
	TenantShare float64              `cbor:"2,keyasint,omitempty"`
	Attempt     int                  `cbor:"3,keyasint"`
	Exclude     []port.ReplicaID     `cbor:"4,keyasint,omitempty"`
	Avoid       port.ReplicaID       `cbor:"5,keyasint,omitempty"`
}

// generateEvent is one step of a generation: exactly one field is set.
type generateEvent struct {
	Decision *port.Decision      `cbor:"1,keyasint,omitempty"`
	Chunk    *port.GenerateChunk `cbor:"2,keyasint,omitempty"`
}
