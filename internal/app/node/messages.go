package node

import (
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Methods that a node serves to its peers.
const (
	// methodGenerate takes a generateCall and streams generateEvent.
	methodGenerate = "node.generate"
	// methodOrder takes an orderCall and answers a port.LoadReport.
	methodOrder = "node.order"
	// methodApplication takes an applicationCall and answers a
	// port.ApplicationResponse.
	methodApplication = "node.application"
	// methodClaimKey takes a claimCall and answers a claimAnswer.
	methodClaimKey = "node.claim_key"
	// methodExplain takes an explainCall and answers an explainAnswer.
	methodExplain = "node.explain"
	// methodPoolState takes a nodestate.PoolStateCall and answers a
	// nodestate.PoolStateAnswer.
	methodPoolState = "node.pool_state"
	// methodBatch takes a batchCall and answers a batchAnswer.
	methodBatch = "node.batch"

	// methodMember takes a membership.Message, one way.
	methodMember = "node.member"
	// methodSummary takes a membership.HomeSummary, one way.
	methodSummary = "node.summary"
	// methodAggregates takes a nodestate.AggregatesMessage, one way.
	methodAggregates = "node.aggregates"
	// methodMachines takes a nodestate.MachinesMessage, one way.
	methodMachines = "node.machines"
	// methodOutcomes takes a nodestate.OutcomesMessage, one way.
	methodOutcomes = "node.outcomes"
)

// generateCall asks a node to generate on a replica that it is the home of, or,
// without a replica, on one of its zone.
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

// orderCall asks a replica's home to pass on a fenced order.
type orderCall struct {
	Replica port.ReplicaID `cbor:"1,keyasint"`
	Order   port.Order     `cbor:"2,keyasint"`
}

// applicationCall forwards a call with a request key to the node that
// remembers the key.
type applicationCall struct {
	Request port.ApplicationRequest `cbor:"1,keyasint"`
}

// claimCall tells a second node of a request key before the request runs.
type claimCall struct {
	Key         string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	// Outcome is set once the request has ended.
	Outcome *keyOutcome `cbor:"3,keyasint,omitempty"`
	// Forget takes the claim back, as the request did not run.
	Forget bool `cbor:"4,keyasint,omitempty"`
}

// claimAnswer says whether the key is new to the node, and if not, its outcome
// as far as it is known.
type claimAnswer struct {
	Fresh   bool        `cbor:"1,keyasint"`
	Outcome *keyOutcome `cbor:"2,keyasint,omitempty"`
}

// keyOutcome is what became of a request with a key.
type keyOutcome struct {
	Response port.ApplicationResponse `cbor:"1,keyasint"`
	Error    *port.Error              `cbor:"2,keyasint,omitempty"`
}

// explainCall asks a node for its records about a subject.
type explainCall struct {
	Subject string `cbor:"1,keyasint"`
}

type explainAnswer struct {
	Decisions []port.Decision `cbor:"1,keyasint,omitempty"`
}

// batchCall is a trainer's question for a batch.
type batchCall struct {
	Pool          port.PoolName    `cbor:"1,keyasint"`
	Number        port.BatchNumber `cbor:"2,keyasint"`
	ConsumerEpoch port.Epoch       `cbor:"3,keyasint"`
	WaitMillis    int64            `cbor:"4,keyasint,omitempty"`
}

// batchAnswer wraps the body of an answer to a trainer.
type batchAnswer struct {
	Batch api.Batch `cbor:"1,keyasint"`
}
