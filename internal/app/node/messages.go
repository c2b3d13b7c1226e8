package node

import (
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Methods of the peer protocol.
const (
	// methodApplication takes an applicationCall and returns a port.ApplicationResponse.
	methodApplication = "node.application"
	// methodClaimKey takes a claimCall and returns a claimAnswer.
	methodClaimKey = "node.claim_key"
	// methodExplain takes an explainCall and returns an explainAnswer.
	methodExplain = "node.explain"
	// methodBatch takes a batchCall and returns a batchAnswer.
	methodBatch = "node.batch"

	// methodPublication takes a publicationCall and returns a publicationAnswer.
	methodPublication = "node.publication"

	// methodMachines takes a nodestate.MachinesMessage, one way.
	methodMachines = "node.machines"
)

// applicationCall forwards a call with a request key to a node that stores the key.
type applicationCall struct {
	Request port.ApplicationRequest `cbor:"1,keyasint"`
}

// claimCall records a request key at a second node before the request runs.
type claimCall struct {
	Key         string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	// Outcome is set once the request has ended.
	Outcome *keyOutcome `cbor:"3,keyasint,omitempty"`
	// Forget withdraws the claim, because the request did not run.
	Forget bool `cbor:"4,keyasint,omitempty"`
}

// claimAnswer reports whether the key was unknown to the node, and otherwise its
// outcome.
type claimAnswer struct {
	Fresh   bool        `cbor:"1,keyasint"`
	Outcome *keyOutcome `cbor:"2,keyasint,omitempty"`
}

// keyOutcome is the outcome of a request with a key.
type keyOutcome struct {
	Response port.ApplicationResponse `cbor:"1,keyasint"`
	Error    *port.Error              `cbor:"2,keyasint,omitempty"`
}

// explainCall requests a node's records about a subject.
type explainCall struct {
	Subject string `cbor:"1,keyasint"`
}

type explainAnswer struct {
	Decisions []port.Decision `cbor:"1,keyasint,omitempty"`
}

// batchCall is a trainer's request for a batch.
type batchCall struct {
	Pool          port.PoolName    `cbor:"1,keyasint"`
	Number        port.BatchNumber `cbor:"2,keyasint"`
	ConsumerEpoch port.Epoch       `cbor:"3,keyasint"`
	WaitMillis    int64            `cbor:"4,keyasint,omitempty"`
}

// batchAnswer wraps the body of the response to a trainer.
type batchAnswer struct {
	Batch api.Batch `cbor:"1,keyasint"`
}

// publicationCall notifies the node that coordinates a pool of a publication of its
// weights, before it is proposed and when its outcome is known.
type publicationCall struct {
	Pool    port.PoolName      `cbor:"1,keyasint"`
	Version port.WeightVersion `cbor:"2,keyasint"`
	// Ended is set once the outcome is known, Published if it took effect.
	Ended     bool `cbor:"3,keyasint,omitempty"`
	Published bool `cbor:"4,keyasint,omitempty"`
}

// publicationAnswer acknowledges a publicationCall.
type publicationAnswer struct{}
