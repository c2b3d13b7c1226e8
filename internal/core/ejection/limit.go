package ejection

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// MaxEjected returns the number of replicas of a pool that may be ejected or probed at a
// time. It is less than the size of the pool.
func MaxEjected(size int, share float64) int {
	if size <= 1 || share <= 0 {
		return 0
	}
	return min(int(share*float64(size)), size-1)
}

// Claim is one home's ejection of a replica.
type Claim struct {
	Replica port.ReplicaID
	Since   time.Time
}

// AcceptedClaims returns the replicas that readers of the claims treat as ejected: at most
// MaxEjected, the oldest claims first and then by id. The homes of a pool eject
// independently and may exceed the limit together. Readers with the same claims get the
// same result.
func AcceptedClaims(claims []Claim, size int, share float64) []port.ReplicaID {
	ordered := slices.Clone(claims)
	slices.SortFunc(ordered, func(a, b Claim) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Replica, b.Replica))
	})
	limit := min(MaxEjected(size, share), len(ordered))
	accepted := make([]port.ReplicaID, 0, limit)
	for _, claim := range ordered[:limit] {
		accepted = append(accepted, claim.Replica)
	}
	return accepted
}

// Median returns the median latency, the lower one for an even number and 0 for none. It
// sorts its argument.
func Median(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
