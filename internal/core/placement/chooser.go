package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// affinityLifetime is how long a replica is assumed to cache the prompt of a request that
	// this node sent to it. The home node has exact data and decides.
	affinityLifetime = time.Minute
	// zoneMargin is the number of free slots per replica by which another zone must
	// exceed this node's zone before a request crosses zones.
	zoneMargin = 2
	// noReplicaRetryAfter is the RetryAfter of a request that no replica can serve.
	noReplicaRetryAfter = time.Second
)

// Chooser picks replicas for the requests that a node accepts. It is not safe for
// concurrent use.
type Chooser struct {
	scheduler *scheduling.Scheduler
	random    *rand.Rand
	index     *prefix.Index
}

// New returns a chooser without data on the replicas' caches.
func New(random *rand.Rand) *Chooser {
	profile := scheduling.Generation()
	// The home node queues requests over the limit, so a full replica may be chosen when
	// all are full.
	profile.Filters = slices.DeleteFunc(profile.Filters, func(filter scheduling.Filter) bool {
		return filter.Name() == scheduling.FilterLimit
	})
	return &Chooser{
		scheduler: scheduling.New(profile),
		random:    random,
		index:     prefix.New(prefix.Config{OptimisticTTL: affinityLifetime}),
	}
}

// Local picks one of the zone's replicas and returns its index and the zone's free slots
// per replica. It picks a replica of an earlier attempt, listed in tried, only if there is
// no other.
func (c *Chooser) Local(now time.Time, request scheduling.Request, tried []port.ReplicaID, zone []scheduling.Candidate) (chosen int, free float64, refusal *port.Error) {
	c.index.Expire(now)
	excluded := request.Exclude
	request.Prefix = c.index
	request.Exclude = slices.Concat(excluded, tried)
	if request.Adapter != "" {
		// Only the home node knows the versions of an adapter.
		request.MinVersion = 0
	}
	result := c.scheduler.Pick(&request, zone, c.random)
	if result.Chosen < 0 && len(tried) > 0 {
		// A replica that failed before is better than none.
		request.Exclude = excluded
		result = c.scheduler.Pick(&request, zone, c.random)
	}
	if result.Chosen < 0 {
		return -1, 0, NoReplica(result.Filtered)
	}
	c.index.AddOptimistic(now, zone[result.Chosen].Replica, request.PrefixHashes)
	return result.Chosen, freePerReplica(zone), nil
}

// freePerReplica returns the free slots per replica that accepts requests.
func freePerReplica(zone []scheduling.Candidate) float64 {
	free, routable := 0, 0
	for index := range zone {
		candidate := &zone[index]
		if candidate.Limit > 0 && !candidate.Leaving && !candidate.Draining && !candidate.Ejected {
			free += candidate.Limit - candidate.Load()
			routable++
		}
	}
	return float64(free) / float64(max(routable, 1))
}

// ZoneCapacity is the free capacity of a pool in another zone.
type ZoneCapacity struct {
	Routable int
	// FreePerReplica is the number of free slots per replica.
	FreePerReplica float64
}

// Zone picks another zone if it has clearly more free slots per replica than this node's
// zone, or if noReplica is set because this zone cannot serve the request. It returns the
// index of the zone, or false if the request stays in this zone.
func (c *Chooser) Zone(zones []ZoneCapacity, free float64, noReplica bool) (int, bool) {
	usable := make([]int, 0, len(zones))
	for index := range zones {
		if zones[index].Routable > 0 {
			usable = append(usable, index)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	// The better of two random zones: with the best of all, every node of a zone would
	// send its requests to the same one until the next report.
	chosen, other := usable[c.Draw(len(usable))], usable[c.Draw(len(usable))]
	if zones[other].FreePerReplica > zones[chosen].FreePerReplica {
		chosen = other
	}
	if !noReplica && zones[chosen].FreePerReplica < free+zoneMargin {
		return 0, false
	}
	return chosen, true
}

// Draw returns a random number below limit.
func (c *Chooser) Draw(limit int) int { return c.random.IntN(limit) }

// NoReplica returns the error for a request that no replica can serve.
func NoReplica(filtered []port.FilterCount) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeNoBackEnd, "no replica can serve the request now")
	for _, count := range filtered {
		refusal.Message += "; " + count.Filter
	}
	refusal.RetryAfter = noReplicaRetryAfter
	return refusal
}
