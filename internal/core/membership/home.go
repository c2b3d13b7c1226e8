package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Assigner maps replicas to home nodes for one set of nodes. It is immutable and safe for
// concurrent use.
type Assigner struct {
	nodes  []port.NodeID
	hashes []uint64
}

// NewAssigner returns an assigner for the live nodes of a zone, in any order.
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

// Home returns the home of a replica, or false if there are no nodes.
func (a *Assigner) Home(replica port.ReplicaID) (port.NodeID, bool) {
	return a.HomeOf(string(replica))
}

// HomeOf returns the node responsible for any key, for example a pool's aggregates.
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

// Rank returns how many nodes HomeOf would choose for a key before this one, if each
// chosen node were removed in turn. Nodes may be in any order.
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

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
