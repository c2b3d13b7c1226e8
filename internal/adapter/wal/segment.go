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
	// headRecords is how many records a segment has from the start: identity,
	// snapshot marker and hard state.
	headRecords = 3
)

// Identity says whose log it is.
type Identity struct {
	// Cluster names the group; it is at most 255 bytes long.
	Cluster string
	Member  consensus.MemberID
}

// String returns the identity for messages to operators.
func (i Identity) String() string {
	return fmt.Sprintf("member %d of cluster %q", i.Member, i.Cluster)
}

// segmentHead is the first record of a segment.
type segmentHead struct {
	identity Identity
	// previousBytes is the length of the segment before, or 0.
	previousBytes int64
}

func decodeIdentity(payload []byte) (segmentHead, error) {
	if len(payload) < identityHeaderBytes || payload[0] != formatVersion {
		return segmentHead{}, errBadPayload
	}
	return segmentHead{
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
	// lastIndex is the highest index of an entry in it, void or not.
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
