package prefix

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Config bounds an Index. Zero fields take the defaults.
type Config struct {
	// BlocksPerReplica bounds the blocks remembered of one replica.
	BlocksPerReplica int
	// OptimisticFor is how long a block entered ahead of its event stays.
	OptimisticFor time.Duration
}

// Defaults of Config.
const (
	DefaultBlocksPerReplica = 16384
	DefaultOptimisticFor    = 10 * time.Second
)

// Index holds the blocks of many replicas. It is not safe for concurrent use.
type Index struct {
	config   Config
	replicas map[port.ReplicaID]*replicaBlocks
}

// New makes an empty index.
func New(config Config) *Index {
	if config.BlocksPerReplica <= 0 {
		config.BlocksPerReplica = DefaultBlocksPerReplica
	}
	if config.OptimisticFor <= 0 {
		config.OptimisticFor = DefaultOptimisticFor
	}
	return &Index{config: config, replicas: make(map[port.ReplicaID]*replicaBlocks)}
}

// Next gives the sequence number after which to ask a replica for events.
func (x *Index) Next(replica port.ReplicaID) uint64 {
	if blocks := x.replicas[replica]; blocks != nil {
		return blocks.sequence
	}
	return 0
}

// Blocks gives the number of blocks remembered of a replica.
func (x *Index) Blocks(replica port.ReplicaID) int {
	if blocks := x.replicas[replica]; blocks != nil {
		return len(blocks.byHash)
	}
	return 0
}

// Gaps gives the number of times that a gap emptied a replica's index.
func (x *Index) Gaps(replica port.ReplicaID) uint64 {
	if blocks := x.replicas[replica]; blocks != nil {
		return blocks.gaps
	}
	return 0
}

// Apply enters a replica's events. Events already applied are passed over; a
// sequence number left out, or gap, empties the index of the replica, and
// Apply goes on from the events after it. It reports whether there was a gap.
func (x *Index) Apply(replica port.ReplicaID, events []port.CacheEvent, gap bool) bool {
	blocks := x.replica(replica)
	if gap {
		blocks.forget()
	}
	ordered := slices.IsSortedFunc(events, compareSequence)
	if !ordered {
		events = slices.Clone(events)
		slices.SortFunc(events, compareSequence)
	}
	skipFirst := gap
	for _, event := range events {
		if event.Sequence <= blocks.sequence && !skipFirst {
			continue
		}
		if event.Sequence != blocks.sequence+1 && !skipFirst {
			blocks.forget()
			gap = true
		}
		skipFirst = false
		blocks.sequence = event.Sequence
		blocks.apply(event, x.config.BlocksPerReplica)
	}
	return gap
}

// Sent enters the blocks of a request that was just sent to a replica, ahead
// of the engine's events.
func (x *Index) Sent(now time.Time, replica port.ReplicaID, hashes []uint64) {
	blocks := x.replica(replica)
	expires := now.Add(x.config.OptimisticFor)
	for _, hash := range hashes {
		blocks.insertOptimistic(hash, expires, x.config.BlocksPerReplica)
	}
}

// Expire drops the blocks entered by Sent that no event confirmed in time.
func (x *Index) Expire(now time.Time) {
	for _, blocks := range x.replicas {
		blocks.expire(now)
	}
}

// Match gives the number of leading blocks that the replica has cached.
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

// Reset forgets a replica's blocks and position, as after its engine started
// anew.
func (x *Index) Reset(replica port.ReplicaID) { delete(x.replicas, replica) }

// Retain forgets every replica for which keep is false.
func (x *Index) Retain(keep func(port.ReplicaID) bool) {
	for replica := range x.replicas {
		if !keep(replica) {
			delete(x.replicas, replica)
		}
	}
}

// replica gives a replica's blocks, making them if need be.
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
