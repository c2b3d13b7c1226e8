package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Assigner gives the home node of replicas, for one set of nodes. It is
// immutable and safe for concurrent use.
type Assigner struct {
	nodes  []port.NodeID
	hashes []uint64
}

// NewAssigner makes an assigner over the live nodes of a zone, in any order.
func NewAssigner(nodes []port.NodeID) *Assigner {
	sorted := slices.Clone(nodes)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	hashes := make([]uint64, len(sorted))
	for index, node := range sorted {
		hashes[index] = xxhash.Sum64String(string(node))
	}
	return &Assigner{nodes: sorted, hashes: hashes}
}

// Home gives the home of a replica; false means that there is no node.
func (a *Assigner) Home(replica port.ReplicaID) (port.NodeID, bool) {
	return a.HomeOf(string(replica))
}

// HomeOf gives the node responsible for any key, such as a pool's aggregates.
func (a *Assigner) HomeOf(key string) (port.NodeID, bool) {
	if len(a.nodes) == 0 {
		return "", false
	}
	keyHash := xxhash.Sum64String(key)
	best, bestScore := 0, mix(keyHash^a.hashes[0])
	for index := 1; index < len(a.hashes); index++ {
		if score := mix(keyHash ^ a.hashes[index]); score > bestScore {
			best, bestScore = index, score
		}
	}
	return a.nodes[best], true
}

// Rank gives the number of nodes that HomeOf would give for a key before this one,
// were each taken away in turn. Nodes may be in any order.
func Rank(key string, nodes []port.NodeID, node port.NodeID) int {
	keyHash := xxhash.Sum64String(key)
	own := mix(keyHash ^ xxhash.Sum64String(string(node)))
	before := 0
	for _, other := range nodes {
		score := mix(keyHash ^ xxhash.Sum64String(string(other)))
		if score > own || score == own && other < node {
			before++
		}
	}
	return before
}

// mix is the finalizer of SplitMix64; it spreads every input bit over the
// whole output.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
