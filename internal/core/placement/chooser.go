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
	// affinityFor is how long a replica is taken to have cached the prompt of a
	// request that this node sent to it. The home knows better and decides.
	affinityFor = time.Minute
	// zoneMargin is the number of free places that each replica of another zone
	// must have over one of the own zone before a request crosses zones.
	zoneMargin = 2
	// noFreePlaceRetry is the advised wait when no zone has a replica.
	noFreePlaceRetry = time.Second
)

// Chooser picks replicas for the requests that a node accepts. It is not safe
// for concurrent use.
type Chooser struct {
	scheduler *scheduling.Scheduler
	random    *rand.Rand
	index     *prefix.Index
}

// New makes a chooser that knows nothing of the replicas' caches.
func New(random *rand.Rand) *Chooser {
	profile := scheduling.Generation()
	// The home queues what is over the limit, so that a full replica can still
	// be chosen when all are full.
	profile.Filters = slices.DeleteFunc(profile.Filters, func(filter scheduling.Filter) bool {
		return filter.Name() == scheduling.FilterLimit
	})
	return &Chooser{
		scheduler: scheduling.New(profile),
		random:    random,
		index:     prefix.New(prefix.Config{OptimisticFor: affinityFor}),
	}
}

// Local picks one of the zone's replicas and gives its position. Tried are the
// replicas of earlier attempts, to be kept off unless no other is left. Room is
// the number of requests that each replica of the zone could start at once.
func (c *Chooser) Local(now time.Time, request scheduling.Request, tried []port.ReplicaID, zone []scheduling.Candidate) (chosen int, room float64, refusal *port.Error) {
	c.index.Expire(now)
	always := request.Exclude
	request.Prefix = c.index
	request.Exclude = slices.Concat(always, tried)
	if request.Adapter != "" {
		// The versions of an adapter are known to the home only.
		request.MinVersion = 0
	}
	result := c.scheduler.Pick(&request, zone, c.random)
	if result.Chosen < 0 && len(tried) > 0 {
		// A replica that failed before is better than none.
		request.Exclude = always
		result = c.scheduler.Pick(&request, zone, c.random)
	}
	if result.Chosen < 0 {
		return -1, 0, NoReplica(result.Filtered)
	}
	c.index.Sent(now, zone[result.Chosen].Replica, request.PrefixHashes)
	return result.Chosen, freePlaces(zone), nil
}

// freePlaces gives the free places for each replica that takes requests.
func freePlaces(zone []scheduling.Candidate) float64 {
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

// Offer is what another zone has for a pool.
type Offer struct {
	Routable int
	// Room is the number of requests that each replica there could start.
	Room float64
}

// Zone picks another zone if it has clearly more room for each of its replicas
// than the own zone's, or if the own zone has none for the request. It gives the
// position of the offer; false means to stay.
func (c *Chooser) Zone(offers []Offer, room float64, none bool) (int, bool) {
	usable := make([]int, 0, len(offers))
	for index := range offers {
		if offers[index].Routable > 0 {
			usable = append(usable, index)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	// Two draws keep the nodes of a zone from all following the same old word.
	chosen, other := usable[c.Draw(len(usable))], usable[c.Draw(len(usable))]
	if offers[other].Room > offers[chosen].Room {
		chosen = other
	}
	if !none && offers[chosen].Room < room+zoneMargin {
		return 0, false
	}
	return chosen, true
}

// Draw gives a random number below bound.
func (c *Chooser) Draw(bound int) int { return c.random.IntN(bound) }

// NoReplica is the refusal of a request that no replica passes the filters for.
func NoReplica(filtered []port.FilterCount) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeNoBackEnd, "no replica can serve the request now")
	for _, count := range filtered {
		refusal.Message += "; " + count.Filter
	}
	refusal.RetryAfter = noFreePlaceRetry
	return refusal
}
