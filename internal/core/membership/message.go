package membership

import "github.com/loomgrade/loomgrade/internal/port"

// MessageKind is the kind of a Message.
type MessageKind uint8

// The message kinds.
const (
	// Heartbeat shows that the sender is alive.
	Heartbeat MessageKind = iota + 1
	// Probe requests an Alive reply from a node that the sender considers dead.
	Probe
	// Suspect reports that the sender no longer receives heartbeats from About.
	Suspect
	// Alive reports that the sender is alive.
	Alive
	// Dead reports that the monitors of About agreed that it is dead.
	Dead
	// Sync lists the nodes that the sender considers dead; it is sent after digests
	// differed. SyncAnswer lists entries that the sender of a Sync lacks.
	Sync
	SyncAnswer
)

// Message is sent between nodes of a zone.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From port.NodeID `cbor:"2,keyasint"`
	// About is the node concerned; empty means From.
	About port.NodeID `cbor:"3,keyasint,omitempty"`
	// Incarnation is the incarnation of the node concerned.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Sequence counts the heartbeats of an incarnation.
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
	// Digest is the digest of the sender's dead nodes, set in a heartbeat.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
	// Entries is set in Sync and SyncAnswer.
	Entries []SyncEntry `cbor:"7,keyasint,omitempty"`
}

// SyncEntry is a node's incarnation and status as known to the sender.
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

// Status is the status of a node as known to the detector.
type Status uint8

// The statuses.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// Change reports a node's new status.
type Change struct {
	Node   port.NodeID
	Status Status
	// Removed is set if the control view no longer lists the node.
	Removed bool
}

// Output holds the messages to send and the status changes of a step.
type Output struct {
	Messages []Envelope
	Changes  []Change
}
