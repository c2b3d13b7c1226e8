package port

// View is the control state as nodes see it. It is immutable.
type View struct {
	// Position is the log index of the last change of the view. An observer's position
	// never decreases.
	Position uint64 `cbor:"1,keyasint"`
	// Term is the term at that position.
	Term uint64 `cbor:"2,keyasint"`
	// Revision is the configuration's revision.
	Revision      Revision           `cbor:"3,keyasint"`
	Configuration Configuration      `cbor:"4,keyasint"`
	Weights       []PublishedWeights `cbor:"5,keyasint,omitempty"`
	Leases        []Lease            `cbor:"6,keyasint,omitempty"`
	// Nodes lists the live nodes with their addresses.
	Nodes []NodeAddress `cbor:"7,keyasint,omitempty"`
}

// NodeAddress holds the addresses and the zone of a node.
type NodeAddress struct {
	ID   NodeID   `cbor:"1,keyasint" json:"id"`
	Zone ZoneName `cbor:"2,keyasint" json:"zone"`
	// PeerAddress serves the internal protocol, HTTPAddress serves callers.
	PeerAddress string `cbor:"3,keyasint" json:"peer_address"`
	HTTPAddress string `cbor:"4,keyasint" json:"http_address"`
	// Draining is set while the node finishes its work during a graceful stop.
	Draining bool `cbor:"5,keyasint,omitempty" json:"draining,omitempty"`
}

// ViewChange is one change of a view. Exactly one field is set.
type ViewChange struct {
	Edit         *Edit             `cbor:"1,keyasint,omitempty"`
	Weights      *PublishedWeights `cbor:"2,keyasint,omitempty"`
	Lease        *Lease            `cbor:"3,keyasint,omitempty"`
	LeaseRemoved string            `cbor:"4,keyasint,omitempty"`
	Node         *NodeAddress      `cbor:"5,keyasint,omitempty"`
	NodeRemoved  NodeID            `cbor:"6,keyasint,omitempty"`
}

// ViewUpdate moves an observer to a newer position: Full, if set, replaces the view,
// otherwise Changes apply to the view at position After.
type ViewUpdate struct {
	After    uint64       `cbor:"1,keyasint"`
	Position uint64       `cbor:"2,keyasint"`
	Term     uint64       `cbor:"3,keyasint"`
	Revision Revision     `cbor:"4,keyasint"`
	Full     *View        `cbor:"5,keyasint,omitempty"`
	Changes  []ViewChange `cbor:"6,keyasint,omitempty"`
	// Confirmed is set if the sending member was in contact with a quorum. It renews the
	// node's configuration lease.
	Confirmed bool `cbor:"7,keyasint"`
}

// NodeReport is a node's report to control, sent at most once a second and on change.
type NodeReport struct {
	Node     NodeAddress `cbor:"1,keyasint"`
	Position uint64      `cbor:"2,keyasint"`
	Revision Revision    `cbor:"3,keyasint"`
	// Serving counts the node's home replicas by pool and served version.
	Serving []ServingCount `cbor:"4,keyasint,omitempty"`
}

// ServingCount counts the replicas of a pool that serve a version.
type ServingCount struct {
	Pool     PoolName      `cbor:"1,keyasint" json:"pool"`
	Version  WeightVersion `cbor:"2,keyasint" json:"version"`
	Replicas int           `cbor:"3,keyasint" json:"replicas"`
}
