package fleet

import (
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/core/membership"
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
)

// empty is a request or answer without contents.
type empty struct{}

// reportsAnswer carries the reports that a member holds.
type reportsAnswer struct {
	Nodes []operatorapi.NodeReport `cbor:"1,keyasint"`
}

// aggregatesMessage carries what a zone tells others. Relayed is set on its
// second way, from an aggregator of the other zone to its peers.
type aggregatesMessage struct {
	Aggregates []membership.PoolAggregate `cbor:"1,keyasint"`
	Relayed    bool                       `cbor:"2,keyasint,omitempty"`
	Asker      port.NodeID                `cbor:"3,keyasint,omitempty"`
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

// poolStateCall asks a home for its replicas of an engine pool.
type poolStateCall struct {
	Pool  port.PoolName    `cbor:"1,keyasint"`
	Fence port.Epoch       `cbor:"2,keyasint"`
	Out   []port.ReplicaID `cbor:"3,keyasint,omitempty"`
}

type poolStateAnswer struct {
	Replicas []replicaState `cbor:"1,keyasint,omitempty"`
}

// replicaState is a replica as its home sees it.
type replicaState struct {
	Replica   port.ReplicaID  `cbor:"1,keyasint"`
	Report    port.LoadReport `cbor:"2,keyasint"`
	Reachable bool            `cbor:"3,keyasint"`
	Routable  bool            `cbor:"4,keyasint"`
	Inflight  int             `cbor:"5,keyasint"`
	Limit     int             `cbor:"6,keyasint"`
}
