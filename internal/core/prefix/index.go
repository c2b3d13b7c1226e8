package prefix

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Config limits an Index. Zero fields select the defaults.
type Config struct {
	// BlocksPerReplica limits the indexed blocks of one replica.
	BlocksPerReplica int
	// OptimisticTTL is the time after which an unconfirmed block expires.
	OptimisticTTL time.Duration
}

// Defaults of Config.
const (
	DefaultBlocksPerReplica = 16384
	DefaultOptimisticTTL    = 10 * time.Second
)

// Index holds the cached blocks of many replicas. It is not safe for concurrent use.
type Index struct {
	config   Config
	replicas map[port.ReplicaID]*replicaBlocks
}

// New returns an empty index.
func New(config Config) *Index {
	if config.BlocksPerReplica <= 0 {
		config.BlocksPerReplica = DefaultBlocksPerReplica
	}
	if config.OptimisticTTL <= 0 {
		config.OptimisticTTL = DefaultOptimisticTTL
	}
	return &Index{config: config, replicas: make(map[port.ReplicaID]*replicaBlocks)}
}

// LastSequence returns the sequence number after which to request a replica's events.
func (x *Index) LastSequence(replica port.ReplicaID) uint64 {
	if blocks := x.replicas[replica]; blocks != nil {
		return blocks.sequence
	}
	return 0
}

// Blocks returns the number of indexed blocks of a replica.
func (x *Index) Blocks(replica port.ReplicaID) int {
	if blocks := x.replicas[replica]; blocks != nil {
		return len(blocks.byHash)
	}
	return 0
}

// Gaps returns how often a gap cleared a replica's index.
func (x *Index) Gaps(replica port.ReplicaID) uint64 {
	if blocks := x.replicas[replica]; blocks != nil {
		return blocks.gaps
	}
	return 0
}

// Apply applies a replica's events and reports whether there was a gap. It skips events
// that were already applied. A gap, reported by the caller or found as a missing sequence
// number, clears the replica's index before the following events are applied.
func (x *Index) Apply(replica port.ReplicaID, events []port.CacheEvent, gap bool) bool {
	blocks := x.replica(replica)
	if gap {
		blocks.reset()
	}
	ordered := slices.IsSortedFunc(events, compareSequence)
	if !ordered {
		events = slices.Clone(events)
		slices.SortFunc(events, compareSequence)
	}
	acceptAny := gap // the first event after a reported gap may have any number
	for _, event := range events {
		if event.Sequence <= blocks.sequence && !acceptAny {
			continue
		}
		if event.Sequence != blocks.sequence+1 && !acceptAny {
			blocks.reset()
			gap = true
		}
		acceptAny = false
		blocks.sequence = event.Sequence
		blocks.apply(event, x.config.BlocksPerReplica)
	}
	return gap
}

// AddOptimistic adds the blocks of a request that was just sent to a replica, before the engine's
// events confirm them.
func (x *Index) AddOptimistic(now time.Time, replica port.ReplicaID, hashes []uint64) {
	blocks := x.replica(replica)
	expires := now.Add(x.config.OptimisticTTL)
	for _, hash := range hashes {
		blocks.insertOptimistic(hash, expires, x.config.BlocksPerReplica)
	}
}

// Expire removes the blocks added by AddOptimistic that no event confirmed in time.
func (x *Index) Expire(now time.Time) {
	for _, blocks := range x.replicas {
		blocks.expire(now)
	}
}

// Match returns the number of leading blocks that the replica has cached.
func (x *Index) Match(hashes []uint64, replica port.ReplicaID) int {
	blocks := x.replicas[replica]
	if blocks == nil {
		return 0
	}
	for count, hash := range hashes {
		if _, found := blocks.byHash[hash]; !found {
			return count
		}
	}
	return len(hashes)
}

// Reset drops a replica's blocks and sequence number, for example after an engine restart.
func (x *Index) Reset(replica port.ReplicaID) { delete(x.replicas, replica) }

// Retain drops every replica for which keep returns false.
func (x *Index) Retain(keep func(port.ReplicaID) bool) {
	for replica := range x.replicas {
		if !keep(replica) {
			delete(x.replicas, replica)
		}
	}
}

// replica returns a replica's blocks, creating them if necessary.
func (x *Index) replica(id port.ReplicaID) *replicaBlocks {
	blocks := x.replicas[id]
	if blocks == nil {
		blocks = newReplicaBlocks()
		x.replicas[id] = blocks
	}
	return blocks
}

// compareSequence orders events by sequence number.
func compareSequence(first, second port.CacheEvent) int {
	switch {
	case first.Sequence < second.Sequence:
		return -1
	case first.Sequence > second.Sequence:
		return 1
	default:
		return 0
	}
}
