package port

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Names and numbers of the things loomgrade decides about.
type (
	// PoolName names a rollout pool or an application pool.
	PoolName string
	// ReplicaID names one back-end replica, unique over all pools.
	ReplicaID string
	// NodeID names one loomgrade node process.
	NodeID string
	// ZoneName names a failure zone.
	ZoneName string
	// RegionName names a group of zones.
	RegionName string
	// TenantName names a caller with its own token and queue share.
	TenantName string
	// RequestID names one caller's request. It starts with the id of the node
	// that holds its decision record.
	RequestID string
	// WeightVersion numbers the weights that a trainer published; 0 means that
	// the version is not known.
	WeightVersion uint64
	// Revision numbers accepted configurations and control views, strictly
	// increasing.
	Revision uint64
	// Epoch is a fencing number: of a lease, a consumer or a connection. The
	// holder of a higher epoch fences off all lower ones.
	Epoch uint64
	// BatchNumber counts the batches of a pool from 1.
	BatchNumber uint64
	// PromptIndex is the position of a prompt in its pool's prompt source.
	PromptIndex uint64
	// Priority orders waiting requests; a higher value goes first.
	Priority int
)

// ErrMalformedSampleID says that a text is no sample id.
var ErrMalformedSampleID = errors.New("malformed sample id")

// SampleID names one generated sample. It is unique without a write per
// sample: Epoch is the coordinator's lease epoch, Sequence counts under it.
type SampleID struct {
	Pool     PoolName `cbor:"1,keyasint" json:"pool"`
	Epoch    Epoch    `cbor:"2,keyasint" json:"epoch"`
	Sequence uint64   `cbor:"3,keyasint" json:"sequence"`
}

// String gives the form that ParseSampleID reads: s-POOL-EPOCH-SEQUENCE.
func (id SampleID) String() string {
	return fmt.Sprintf("s-%s-%d-%d", id.Pool, id.Epoch, id.Sequence)
}

// ParseSampleID reads the form that SampleID.String gives; a failure wraps
// ErrMalformedSampleID. A pool's name may itself hold hyphens.
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
