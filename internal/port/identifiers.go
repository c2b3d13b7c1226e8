package port

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Identifiers and numbers.
type (
	// PoolName names a rollout pool or an application pool.
	PoolName string
	// ReplicaID names a back-end replica, unique across pools.
	ReplicaID string
	// NodeID names a loomgrade node process.
	NodeID string
	// ZoneName names a failure zone.
	ZoneName string
	// RegionName names a group of zones.
	RegionName string
	// TenantName names a caller with its own token and queue share.
	TenantName string
	// RequestID names a request. It starts with the id of the node that stores its
	// decision record.
	RequestID string
	// WeightVersion numbers the weights that a trainer published; 0 means unknown.
	WeightVersion uint64
	// Revision numbers accepted configurations. It strictly increases.
	Revision uint64
	// Epoch is a fencing token of a lease, a consumer or a connection. A higher epoch
	// fences all lower ones.
	Epoch uint64
	// BatchNumber counts the batches of a pool from 1.
	BatchNumber uint64
	// PromptIndex is the position of a prompt in its pool's prompt source.
	PromptIndex uint64
	// Priority orders waiting requests; a higher value goes first.
	Priority int
)

// ErrMalformedSampleID is returned for a text that is not a sample id.
var ErrMalformedSampleID = errors.New("malformed sample id")

// SampleID identifies a generated sample. It is unique without a write per sample: Epoch is
// the coordinator's lease epoch, and Sequence counts within it.
type SampleID struct {
	Pool     PoolName `cbor:"1,keyasint" json:"pool"`
	Epoch    Epoch    `cbor:"2,keyasint" json:"epoch"`
	Sequence uint64   `cbor:"3,keyasint" json:"sequence"`
}

// String returns the id as s-POOL-EPOCH-SEQUENCE.
func (id SampleID) String() string {
	return fmt.Sprintf("s-%s-%d-%d", id.Pool, id.Epoch, id.Sequence)
}

// ParseSampleID parses the output of SampleID.String. Errors wrap ErrMalformedSampleID. The
// pool's name may contain hyphens.
func ParseSampleID(text string) (SampleID, error) {
	malformed := fmt.Errorf("%w: %q is not s-POOL-EPOCH-SEQUENCE", ErrMalformedSampleID, text)
	body, found := strings.CutPrefix(text, "s-")
	if !found {
		return SampleID{}, malformed
	}
	parts := strings.Split(body, "-")
	if len(parts) < 3 {
		return SampleID{}, malformed
	}
	epoch, errEpoch := strconv.ParseUint(parts[len(parts)-2], 10, 64)
	sequence, errSequence := strconv.ParseUint(parts[len(parts)-1], 10, 64)
	pool := strings.Join(parts[:len(parts)-2], "-")
	if errEpoch != nil || errSequence != nil || pool == "" {
		return SampleID{}, malformed
	}
	return SampleID{Pool: PoolName(pool), Epoch: Epoch(epoch), Sequence: sequence}, nil
}
