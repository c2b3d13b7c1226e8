package wal

import (
	"encoding/binary"
	"fmt"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const (
	formatVersion       = 1
	identityHeaderBytes = 17
	segmentPattern      = "wal-%016x.log"
	temporarySuffix     = ".tmp"
	// headerRecords is the number of records at the start of every segment:
	// identity, snapshot marker and hard state.
	headerRecords = 3
)

// Identity identifies the owner of a log.
type Identity struct {
	// Cluster is the name of the group, at most 255 bytes.
	Cluster string
	Member  consensus.MemberID
}

// String formats the identity for messages to operators.
func (i Identity) String() string {
	return fmt.Sprintf("member %d of cluster %q", i.Member, i.Cluster)
}

// segmentHeader is the first record of a segment.
type segmentHeader struct {
	identity Identity
	// previousBytes is the length of the previous segment, 0 if there is none.
	previousBytes int64
}

func decodeIdentity(payload []byte) (segmentHeader, error) {
	if len(payload) < identityHeaderBytes || payload[0] != formatVersion {
		return segmentHeader{}, errBadPayload
	}
	return segmentHeader{
		identity: Identity{
			Member:  consensus.MemberID(binary.LittleEndian.Uint64(payload[1:])),
			Cluster: string(payload[identityHeaderBytes:]),
		},
		previousBytes: int64(binary.LittleEndian.Uint64(payload[9:])),
	}, nil
}

// segment is one file of the log.
type segment struct {
	sequence uint64
	size     int64
	// lastIndex is the highest entry index in the segment, including replaced entries.
	lastIndex uint64
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf(segmentPattern, sequence)
}

func parseSegmentName(name string) (uint64, bool) {
	var sequence uint64
	count, err := fmt.Sscanf(name, segmentPattern, &sequence)
	return sequence, err == nil && count == 1 && segmentName(sequence) == name
}
