package controlstate

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/core/logcodec"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// snapshotVersion is the version of the encoding.
const snapshotVersion = 1

// ErrSnapshot is returned for bytes that are not a snapshot of a supported version.
var ErrSnapshot = errors.New("unusable control state snapshot")

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: logcodec.MaxElements, MaxMapPairs: logcodec.MaxElements, MaxNestedLevels: logcodec.MaxNesting}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command port.Command) ([]byte, error) { return encoding.Marshal(command) }

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(data []byte) (port.Command, error) {
	var command port.Command
	err := decoding.Unmarshal(data, &command)
	return command, err
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Version       int                     `cbor:"1,keyasint"`
	Applied       uint64                  `cbor:"2,keyasint"`
	Time          int64                   `cbor:"3,keyasint"`
	Epoch         port.Epoch              `cbor:"4,keyasint"`
	Revision      port.Revision           `cbor:"5,keyasint"`
	Position      uint64                  `cbor:"6,keyasint"`
	Term          uint64                  `cbor:"7,keyasint"`
	Configuration port.Configuration      `cbor:"8,keyasint"`
	Weights       []port.PublishedWeights `cbor:"9,keyasint,omitempty"`
	Leases        []port.Lease            `cbor:"10,keyasint,omitempty"`
	Nodes         []port.NodeAddress      `cbor:"11,keyasint,omitempty"`
	Answers       []registry.CachedResult `cbor:"12,keyasint,omitempty"`
	AnswerFloor   int64                   `cbor:"13,keyasint"`
	History       []registry.HistoryEntry `cbor:"14,keyasint,omitempty"`
	Ledger        ledger.Export           `cbor:"15,keyasint"`
	Members       map[uint64]string       `cbor:"16,keyasint,omitempty"`
}

// Snapshot encodes the complete state, except for the change log. Equal states encode to
// equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	answers, floor := s.answers.Export()
	return encoding.Marshal(snapshot{
		Version: snapshotVersion, Applied: s.applied, Time: s.time, Epoch: s.epoch,
		Revision: s.revision, Position: s.position, Term: s.term,
		Configuration: s.document.Configuration(),
		Weights:       s.weights.List(), Leases: s.leases.List(), Nodes: s.nodes.List(),
		Answers: answers, AnswerFloor: floor, History: s.history.List(), Ledger: s.ledger.Export(),
		Members: s.members,
	})
}

// Restore replaces the state by that of a snapshot. An error wraps ErrSnapshot and
// leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	var decoded snapshot
	if err := decoding.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if decoded.Version != snapshotVersion {
		return fmt.Errorf("%w: version %d, this program reads %d", ErrSnapshot, decoded.Version, snapshotVersion)
	}
	restored := New()
	restored.document = registry.LoadDocument(decoded.Configuration)
	restored.weights.Import(decoded.Weights)
	restored.leases.Import(decoded.Leases)
	restored.nodes.Import(decoded.Nodes)
	restored.answers.Import(decoded.Answers, decoded.AnswerFloor)
	restored.history.Import(decoded.History)
	restored.ledger.Import(decoded.Ledger)
	for id, address := range decoded.Members {
		restored.members[id] = address
	}
	restored.applied, restored.time, restored.epoch = decoded.Applied, decoded.Time, decoded.Epoch
	restored.revision, restored.position, restored.term = decoded.Revision, decoded.Position, decoded.Term
	restored.changes.floor = decoded.Position
	*s = *restored
	return nil
}
