package membership

import "github.com/loomgrade/loomgrade/internal/port"

// MessageKind names a message of the failure detector.
type MessageKind uint8

// The kinds of message.
const (
	// Heartbeat says that the sender lives.
	Heartbeat MessageKind = iota + 1
	// Probe asks a node that the sender holds for dead to answer with Alive.
	Probe
	// Suspect says that the sender misses the heartbeats of About.
	Suspect
	// Alive is About's own word that it lives.
	Alive
	// Dead says that the monitors of About agreed that it is dead.
	Dead
	// Sync lists the nodes that the sender holds for dead, after digests
	// differed. SyncAnswer carries what the receiver of a Sync knows better.
	Sync
	SyncAnswer
)

// Message is sent from node to node within a zone.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From port.NodeID `cbor:"2,keyasint"`
	// About is the node meant; empty means From.
	About port.NodeID `cbor:"3,keyasint,omitempty"`
	// Incarnation is that of the node meant.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Sequence counts the heartbeats of an incarnation.
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
	// Digest of the sender's dead nodes goes with a heartbeat.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
	// Entries go with Sync.
	Entries []SyncEntry `cbor:"7,keyasint,omitempty"`
}

// SyncEntry is what a node holds of another.
type SyncEntry struct {
	Node        port.NodeID `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	Dead        bool        `cbor:"3,keyasint,omitempty"`
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      port.NodeID
	Message Message
}

// Status is what the detector holds of a node.
type Status uint8

// The statuses.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
)

// String names the status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// Change tells of a node's new status.
type Change struct {
	Node   port.NodeID
	Status Status
	// Removed says that the control view no longer lists the node.
	Removed bool
}

// Output is what a step of the detector asks its caller to do.
type Output struct {
	Messages []Envelope
	Changes  []Change
}
