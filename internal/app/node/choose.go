package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Constants of the choice of a place.
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

// chooser picks replicas for the requests that a node accepts. It is safe for
// use by many goroutines.
type chooser struct {
	mutex     sync.Mutex
	scheduler *scheduling.Scheduler
	random    *rand.Rand
	index     *prefix.Index
	scratch   []scheduling.Candidate
}

func newChooser(seed uint64) *chooser {
	profile := scheduling.Generation()
	// The home queues what is over the limit, so that a full replica can still
	// be chosen when all are full.
	profile.Filters = slices.DeleteFunc(profile.Filters, func(filter scheduling.Filter) bool {
		return filter.Name() == scheduling.FilterLimit
	})
	return &chooser{
		scheduler: scheduling.New(profile),
		random:    rand.New(rand.NewPCG(seed, 2)),
		index:     prefix.New(prefix.Config{OptimisticFor: affinityFor}),
	}
}

// place is where an attempt goes. Without a replica the node there chooses.
type place struct {
	node    port.NodeAddress
	replica port.ReplicaID
	// crossing counts what goes to another zone; nil within the own one.
	crossing *replicaCounters
}

// choose picks the place of an attempt: a replica of the own zone through its
// home, or a node of another zone that has more room.
func (n *Node) choose(accepted acceptance, job *generation, tried []port.ReplicaID) (place, *port.Error) {
	local, room, refusal := n.chooseLocal(accepted, job, tried)
	if remote, better := n.chooseZone(accepted, job, room, refusal != nil); better {
		remote.crossing.sent.Add(1)
		return remote, nil
	}
	return local, refusal
}

// chooseLocal picks a replica of the own zone, and tells how many requests each
// of the zone's replicas could start at once.
func (n *Node) chooseLocal(accepted acceptance, job *generation, tried []port.ReplicaID) (place, float64, *port.Error) {
	if len(job.zones) > 0 && !slices.Contains(job.zones, n.config.Zone) {
		return place{}, 0, noReplica(nil)
	}
	now := time.Now()
	c := n.chooser
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.index.Expire(now)
	c.scratch = c.scratch[:0]
	free, routable := 0, 0
	for index := range accepted.route.zone {
		candidate := accepted.route.zone[index].now(now)
		if candidate.Limit > 0 && !candidate.Leaving && !candidate.Draining && !candidate.Ejected {
			free += candidate.Limit - candidate.Load()
			routable++
		}
		c.scratch = append(c.scratch, candidate)
	}
	request := n.pick(job, tried)
	result := c.scheduler.Pick(&request, c.scratch, c.random)
	if result.Chosen < 0 && len(request.Exclude) > len(job.exclude) {
		// A replica that failed before is better than none.
		request.Exclude = job.exclude
		result = c.scheduler.Pick(&request, c.scratch, c.random)
	}
	if result.Chosen < 0 {
		return place{}, 0, noReplica(result.Filtered)
	}
	chosen := c.scratch[result.Chosen]
	home, known := accepted.snapshot.nodes[chosen.Home]
	if !known {
		return place{}, 0, noReplica(nil)
	}
	c.index.Sent(now, chosen.Replica, job.request.PrefixHashes)
	return place{node: home, replica: chosen.Replica}, float64(free) / float64(max(routable, 1)), nil
}

// pick makes the scheduler's request. The versions of an adapter are known to
// the home only.
func (n *Node) pick(job *generation, tried []port.ReplicaID) scheduling.Request {
	request := scheduling.Request{
		Pool:         job.request.Pool,
		Zone:         n.config.Zone,
		Region:       n.config.Region,
		Priority:     job.request.Priority,
		PromptTokens: job.request.PromptTokens,
		MaxTokens:    job.request.MaxTokens,
		MinVersion:   job.request.MinVersion,
		Adapter:      job.request.Adapter,
		PrefixHashes: job.request.PrefixHashes,
		Prefix:       n.chooser.index,
		Exclude:      slices.Concat(job.exclude, tried),
	}
	if job.avoid != "" {
		request.Exclude = append(request.Exclude, job.avoid)
	}
	if request.Adapter != "" {
		request.MinVersion = 0
	}
	return request
}

// now gives the candidate with this node's own counts of the moment.
func (r *zoneReplica) now(now time.Time) scheduling.Candidate {
	candidate := r.candidate
	sent, finished := r.counters.sent.Load(), r.counters.finished.Load()
	candidate.Inflight = int(max(sent-finished, 0))
	candidate.SentSinceReport = int(max(sent-r.sentMark, 0))
	candidate.FinishedSinceReport = int(max(finished-r.finishedMark, 0))
	candidate.ReportAge = now.Sub(r.reported)
	return candidate
}

// chooseZone picks a node of another zone if one has clearly more room for each
// of its replicas, or if the own zone has no replica for the request.
func (n *Node) chooseZone(accepted acceptance, job *generation, room float64, none bool) (place, bool) {
	var usable []*zoneOffer
	for index := range accepted.route.elsewhere {
		offer := &accepted.route.elsewhere[index]
		allowed := len(job.zones) == 0 || slices.Contains(job.zones, offer.aggregate.Zone)
		if allowed && offer.aggregate.Routable > 0 && len(offer.nodes) > 0 {
			usable = append(usable, offer)
		}
	}
	if len(usable) == 0 {
		return place{}, false
	}
	// Two draws keep the nodes of a zone from all following the same old word.
	chosen, other := usable[n.budgets.draw(len(usable))], usable[n.budgets.draw(len(usable))]
	if other.room() > chosen.room() {
		chosen = other
	}
	if !none && chosen.room() < room+zoneMargin {
		return place{}, false
	}
	return place{node: chosen.nodes[n.budgets.draw(len(chosen.nodes))], crossing: chosen.counters}, true
}

func noReplica(filtered []port.FilterCount) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeNoBackEnd, "no replica can serve the request now")
	for _, count := range filtered {
		refusal.Message += "; " + count.Filter
	}
	refusal.RetryAfter = noFreePlaceRetry
	return refusal
}
