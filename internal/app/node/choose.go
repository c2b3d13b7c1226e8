package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// chooser guards the choice of places among traffic goroutines.
type chooser struct {
	mutex   sync.Mutex
	pure    *placement.Chooser
	scratch []scheduling.Candidate
	offers  []placement.ZoneCapacity
}

func newChooser(seed uint64) *chooser {
	return &chooser{pure: placement.New(rand.New(rand.NewPCG(seed, 2)))}
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
		return place{}, 0, placement.NoReplica(nil)
	}
	now := time.Now()
	c := n.chooser
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scratch = c.scratch[:0]
	for index := range accepted.route.Zone {
		c.scratch = append(c.scratch, accepted.route.Zone[index].CurrentCandidate(now))
	}
	if job.avoid != "" {
		tried = append(slices.Clip(tried), job.avoid)
	}
	position, room, refusal := c.pure.Local(now, n.pick(job), tried, c.scratch)
	if refusal != nil {
		return place{}, 0, refusal
	}
	chosen := c.scratch[position]
	home, known := accepted.snapshot.Nodes[chosen.Home]
	if !known {
		return place{}, 0, placement.NoReplica(nil)
	}
	return place{node: home, replica: chosen.Replica}, room, nil
}

// pick makes the scheduler's request.
func (n *Node) pick(job *generation) scheduling.Request {
	return scheduling.Request{
		Pool:         job.request.Pool,
		Zone:         n.config.Zone,
		Region:       n.config.Region,
		Priority:     job.request.Priority,
		PromptTokens: job.request.PromptTokens,
		MaxTokens:    job.request.MaxTokens,
		MinVersion:   job.request.MinVersion,
		Adapter:      job.request.Adapter,
		PrefixHashes: job.request.PrefixHashes,
		Exclude:      job.exclude,
	}
}

// chooseZone picks a node of another zone if one has clearly more room for each
// of its replicas, or if the own zone has no replica for the request.
func (n *Node) chooseZone(accepted acceptance, job *generation, room float64, none bool) (place, bool) {
	elsewhere := accepted.route.OtherZones
	c := n.chooser
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.offers = c.offers[:0]
	for index := range elsewhere {
		offer := &elsewhere[index]
		told := placement.ZoneCapacity{Routable: offer.Aggregate.Routable, FreePerReplica: offer.FreePerReplica()}
		allowed := len(job.zones) == 0 || slices.Contains(job.zones, offer.Aggregate.Zone)
		if !allowed || len(offer.Nodes) == 0 {
			told.Routable = 0
		}
		c.offers = append(c.offers, told)
	}
	position, better := c.pure.Zone(c.offers, room, none)
	if !better {
		return place{}, false
	}
	chosen := &elsewhere[position]
	return place{node: chosen.Nodes[c.pure.Draw(len(chosen.Nodes))], crossing: chosen.Counter.(*replicaCounters)}, true
}
