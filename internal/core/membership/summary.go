package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// HomeSummary is a home's report on its replicas to its zone.
type HomeSummary struct {
	Node port.NodeID `cbor:"1,keyasint"`
	// Incarnation and Sequence order the summaries of a node.
	Incarnation uint64           `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
	Replicas    []ReplicaSummary `cbor:"4,keyasint,omitempty"`
}

// ReplicaSummary is the state of one replica as known to its home.
type ReplicaSummary struct {
	Replica port.ReplicaID     `cbor:"1,keyasint"`
	Pool    port.PoolName      `cbor:"2,keyasint"`
	Version port.WeightVersion `cbor:"3,keyasint,omitempty"`
	Staged  port.WeightVersion `cbor:"4,keyasint,omitempty"`
	// VersionUnknown excludes the replica from routing.
	VersionUnknown bool            `cbor:"5,keyasint,omitempty"`
	Role           port.EngineRole `cbor:"6,keyasint,omitempty"`
	Ejected        bool            `cbor:"7,keyasint,omitempty"`
	Probing        bool            `cbor:"8,keyasint,omitempty"`
	// EjectedSince is the home's clock in Unix milliseconds.
	EjectedSince int64 `cbor:"9,keyasint,omitempty"`
	Draining     bool  `cbor:"10,keyasint,omitempty"`
	Leaving      bool  `cbor:"11,keyasint,omitempty"`
	// Inflight counts the requests at the replica, Queued those that wait at the home for
	// the replica or its pool; Limit is the concurrency limit.
	Inflight int `cbor:"12,keyasint,omitempty"`
	Queued   int `cbor:"13,keyasint,omitempty"`
	Limit    int `cbor:"14,keyasint,omitempty"`
	KVUsed   int `cbor:"15,keyasint,omitempty"`
	KVTotal  int `cbor:"16,keyasint,omitempty"`
	// LatencyMicros is the mean latency in microseconds, 0 if unknown.
	LatencyMicros int64    `cbor:"17,keyasint,omitempty"`
	Adapters      []string `cbor:"18,keyasint,omitempty"`
}

// Routable reports whether the replica accepts requests up to its limit.
func (r *ReplicaSummary) Routable() bool {
	return !r.Probing && !r.unavailable()
}

func (r *ReplicaSummary) unavailable() bool {
	return r.Ejected || r.Draining || r.Leaving || r.VersionUnknown
}

// Capacity returns the number of concurrent requests that the replica accepts. A probed one
// accepts a single request, else a pool with only probed replicas could not recover.
func (r *ReplicaSummary) Capacity() int {
	switch {
	case r.unavailable():
		return 0
	case r.Probing:
		return 1
	default:
		return r.Limit
	}
}

// SummaryInterval returns the time between two summaries of a home such that sending bytes
// to every peer of the zone stays within a budget in bytes per second; it is at least
// minimum.
func SummaryInterval(minimum time.Duration, peers, bytes, budget int) time.Duration {
	if budget <= 0 {
		return minimum
	}
	needed := time.Duration(peers*bytes) * time.Second / time.Duration(budget)
	return max(minimum, needed)
}

// Summaries holds the newest summaries of a zone. It is not safe for concurrent use.
type Summaries struct {
	homes map[port.NodeID]*receivedSummary
	// byPool caches the results of Pool for the homes of assigned; nil after a change.
	byPool   map[port.PoolName][]poolEntry
	assigned *Assigner
}

// poolEntry is one replica of a pool.
type poolEntry struct {
	home     port.NodeID
	replica  *ReplicaSummary
	received time.Time
}

// receivedSummary is the newest summary of a home, with its time of receipt.
type receivedSummary struct {
	summary  HomeSummary
	received time.Time
}

// NewSummaries returns an empty table.
func NewSummaries() *Summaries {
	return &Summaries{homes: make(map[port.NodeID]*receivedSummary)}
}

// Apply stores a summary if it is newer than the current one, and reports whether it did.
func (s *Summaries) Apply(now time.Time, summary HomeSummary) bool {
	current := s.homes[summary.Node]
	if current != nil && !newer(summary.Incarnation, summary.Sequence, current.summary.Incarnation, current.summary.Sequence) {
		return false
	}
	s.homes[summary.Node] = &receivedSummary{summary: summary, received: now}
	s.byPool = nil
	return true
}

// Replica returns a replica's state as reported by its home, and the age of that report.
func (s *Summaries) Replica(now time.Time, home port.NodeID, replica port.ReplicaID) (ReplicaSummary, time.Duration, bool) {
	latest := s.homes[home]
	if latest == nil {
		return ReplicaSummary{}, 0, false
	}
	for _, summary := range latest.summary.Replicas {
		if summary.Replica == replica {
			return summary, now.Sub(latest.received), true
		}
	}
	return ReplicaSummary{}, 0, false
}

// Retain removes the summaries of nodes that are not live.
func (s *Summaries) Retain(live []port.NodeID) {
	for node := range s.homes {
		if !slices.Contains(live, node) {
			delete(s.homes, node)
			s.byPool = nil
		}
	}
}

// Each calls visit for every replica reported by its current home, in order of home and
// replica; reports of former homes are skipped.
func (s *Summaries) Each(now time.Time, homes *Assigner, visit func(home port.NodeID, replica *ReplicaSummary, age time.Duration)) {
	nodes := make([]port.NodeID, 0, len(s.homes))
	for node := range s.homes {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	for _, node := range nodes {
		latest := s.homes[node]
		for index := range latest.summary.Replicas {
			replica := &latest.summary.Replicas[index]
			if home, found := homes.Home(replica.Replica); found && home == node {
				visit(node, replica, now.Sub(latest.received))
			}
		}
	}
}

// Pool calls visit for every replica of one pool that Each would visit. It caches the
// replicas by pool until a summary arrives or the homes change.
func (s *Summaries) Pool(now time.Time, homes *Assigner, pool port.PoolName, visit func(home port.NodeID, replica *ReplicaSummary, age time.Duration)) {
	if s.byPool == nil || s.assigned != homes {
		s.byPool, s.assigned = make(map[port.PoolName][]poolEntry), homes
		s.Each(now, homes, func(home port.NodeID, replica *ReplicaSummary, age time.Duration) {
			s.byPool[replica.Pool] = append(s.byPool[replica.Pool], poolEntry{home: home, replica: replica, received: now.Add(-age)})
		})
	}
	for _, entry := range s.byPool[pool] {
		visit(entry.home, entry.replica, now.Sub(entry.received))
	}
}

// newer reports whether the first (incarnation, sequence) pair is higher than the current
// one.
func newer(incarnation, sequence, currentIncarnation, currentSequence uint64) bool {
	return cmp.Or(cmp.Compare(incarnation, currentIncarnation), cmp.Compare(sequence, currentSequence)) > 0
}
