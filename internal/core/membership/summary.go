package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// HomeSummary is what a home tells its zone of its replicas.
type HomeSummary struct {
	Node port.NodeID `cbor:"1,keyasint"`
	// Incarnation and Sequence order the summaries of a node.
	Incarnation uint64           `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
	Replicas    []ReplicaSummary `cbor:"4,keyasint,omitempty"`
}

// ReplicaSummary is the state of one replica as its home sees it.
type ReplicaSummary struct {
	Replica port.ReplicaID     `cbor:"1,keyasint"`
	Pool    port.PoolName      `cbor:"2,keyasint"`
	Version port.WeightVersion `cbor:"3,keyasint,omitempty"`
	Staged  port.WeightVersion `cbor:"4,keyasint,omitempty"`
	// VersionUnknown keeps the replica out of routing.
	VersionUnknown bool            `cbor:"5,keyasint,omitempty"`
	Role           port.EngineRole `cbor:"6,keyasint,omitempty"`
	Ejected        bool            `cbor:"7,keyasint,omitempty"`
	Probing        bool            `cbor:"8,keyasint,omitempty"`
	// EjectedSince is in milliseconds since 1970, by the home's clock.
	EjectedSince int64 `cbor:"9,keyasint,omitempty"`
	Draining     bool  `cbor:"10,keyasint,omitempty"`
	Leaving      bool  `cbor:"11,keyasint,omitempty"`
	// Inflight counts requests at the replica, Queued those that wait at the
	// home for it or its pool, Limit is the concurrency limit.
	Inflight int `cbor:"12,keyasint,omitempty"`
	Queued   int `cbor:"13,keyasint,omitempty"`
	Limit    int `cbor:"14,keyasint,omitempty"`
	KVUsed   int `cbor:"15,keyasint,omitempty"`
	KVTotal  int `cbor:"16,keyasint,omitempty"`
	// LatencyMicros is the mean latency in microseconds, 0 if not known.
	LatencyMicros int64    `cbor:"17,keyasint,omitempty"`
	Adapters      []string `cbor:"18,keyasint,omitempty"`
}

// Routable says whether the replica takes requests up to its limit.
func (r *ReplicaSummary) Routable() bool {
	return !r.Probing && !r.out()
}

func (r *ReplicaSummary) out() bool {
	return r.Ejected || r.Draining || r.Leaving || r.VersionUnknown
}

// Takes gives the number of requests that the replica takes at a time. A probed
// one takes a single request: were it to take none, a pool whose replicas are
// all probed would send nothing and never learn that they are well again.
func (r *ReplicaSummary) Takes() int {
	switch {
	case r.out():
		return 0
	case r.Probing:
		return 1
	default:
		return r.Limit
	}
}

// SummaryInterval gives the time between two summaries of a home, such that
// sending one of the given size to every peer of the zone stays within a
// budget in bytes per second; it is never less than least.
func SummaryInterval(least time.Duration, peers, bytes, budget int) time.Duration {
	if budget <= 0 {
		return least
	}
	needed := time.Duration(peers*bytes) * time.Second / time.Duration(budget)
	return max(least, needed)
}

// Summaries merges the summaries of a zone. It is not safe for concurrent use.
type Summaries struct {
	homes map[port.NodeID]*heldSummary
	// byPool holds what Pool hands over, for the homes of assigned; nil after a
	// change.
	byPool   map[port.PoolName][]poolEntry
	assigned *Assigner
}

// poolEntry is one replica of a pool.
type poolEntry struct {
	home     port.NodeID
	replica  *ReplicaSummary
	received time.Time
}

// heldSummary is the newest summary of a home, with the time it came.
type heldSummary struct {
	summary  HomeSummary
	received time.Time
}

// NewSummaries makes an empty table.
func NewSummaries() *Summaries {
	return &Summaries{homes: make(map[port.NodeID]*heldSummary)}
}

// Apply takes a summary; false means that it is not newer than the one held.
func (s *Summaries) Apply(now time.Time, summary HomeSummary) bool {
	held := s.homes[summary.Node]
	if held != nil && !newer(summary.Incarnation, summary.Sequence, held.summary.Incarnation, held.summary.Sequence) {
		return false
	}
	s.homes[summary.Node] = &heldSummary{summary: summary, received: now}
	s.byPool = nil
	return true
}

// Replica gives a replica's state as its home tells it, and how old that is.
func (s *Summaries) Replica(now time.Time, home port.NodeID, replica port.ReplicaID) (ReplicaSummary, time.Duration, bool) {
	held := s.homes[home]
	if held == nil {
		return ReplicaSummary{}, 0, false
	}
	for _, summary := range held.summary.Replicas {
		if summary.Replica == replica {
			return summary, now.Sub(held.received), true
		}
	}
	return ReplicaSummary{}, 0, false
}

// Retain drops the summaries of nodes that are no longer live.
func (s *Summaries) Retain(live []port.NodeID) {
	for node := range s.homes {
		if !slices.Contains(live, node) {
			delete(s.homes, node)
			s.byPool = nil
		}
	}
}

// Each hands over every replica that its present home tells of, in order of
// home and replica; what a former home still tells is left out.
func (s *Summaries) Each(now time.Time, homes *Assigner, visit func(home port.NodeID, replica *ReplicaSummary, age time.Duration)) {
	nodes := make([]port.NodeID, 0, len(s.homes))
	for node := range s.homes {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	for _, node := range nodes {
		held := s.homes[node]
		for index := range held.summary.Replicas {
			replica := &held.summary.Replicas[index]
			if home, found := homes.Home(replica.Replica); found && home == node {
				visit(node, replica, now.Sub(held.received))
			}
		}
	}
}

// Pool hands over what Each does of one pool. The order by pool is kept until a
// summary comes or the homes change, so that a pass over all pools costs one
// pass over the zone.
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

// newer orders (incarnation, sequence) pairs.
func newer(incarnation, sequence, heldIncarnation, heldSequence uint64) bool {
	return cmp.Or(cmp.Compare(incarnation, heldIncarnation), cmp.Compare(sequence, heldSequence)) > 0
}
