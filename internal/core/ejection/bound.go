package ejection

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Bound gives the number of replicas of a pool that may be out at a time. It
// is never the whole pool.
func Bound(size int, share float64) int {
	if size <= 1 || share <= 0 {
		return 0
	}
	return min(int(share*float64(size)), size-1)
}

// Claim is one home's word that a replica is out.
type Claim struct {
	Replica port.ReplicaID
	Since   time.Time
}

// Honour says which claims a reader follows when the homes of a pool, each by
// what it knew, took out more replicas than the bound: the oldest, and the
// lowest id among equals. Readers with the same claims follow the same ones.
func Honour(claims []Claim, size int, share float64) []port.ReplicaID {
	ordered := slices.Clone(claims)
	slices.SortFunc(ordered, func(a, b Claim) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Replica, b.Replica))
	})
	bound := min(Bound(size, share), len(ordered))
	honoured := make([]port.ReplicaID, 0, bound)
	for _, claim := range ordered[:bound] {
		honoured = append(honoured, claim.Replica)
	}
	return honoured
}

// Median gives the middle of the latencies, the lower one of an even number; 0
// for none. It sorts its argument.
func Median(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
