package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// placementInterval paces the sampled placements: a few requests of each node
// stand for all.
const placementInterval = 5 * time.Second

// placements measures the sampled placements.
type placements struct {
	scheduler  *scheduling.Scheduler
	random     *rand.Rand
	scratch    []scheduling.Candidate
	count      int
	placed     int
	candidates int
	busy       time.Duration
}

// placeOne chooses a replica for one request among those of the zone, as the
// accepting node does; the request is not sent.
func (n *node) placeOne() time.Duration {
	p := &n.fleet.placements
	if n.homes.own == nil {
		return placementInterval
	}
	name := poolName(n.fleet.random.IntN(trainers))
	p.scratch = p.scratch[:0]
	n.summaries.Each(n.fleet.wall(), n.homes.own, func(home port.NodeID, replica *membership.ReplicaSummary, age time.Duration) {
		if replica.Pool == name {
			p.scratch = append(p.scratch, n.candidate(home, replica, age))
		}
	})
	began := time.Now()
	request := scheduling.Request{Pool: name, Zone: n.address.Zone, Region: n.regionName(), PromptTokens: promptBytes / 4, MaxTokens: sampleTokens}
	result := p.scheduler.Pick(&request, p.scratch, p.random)
	p.busy += time.Since(began)
	p.count++
	p.candidates += len(p.scratch)
	if result.Chosen >= 0 {
		p.placed++
	}
	return placementInterval
}

func (n *node) candidate(home port.NodeID, replica *membership.ReplicaSummary, age time.Duration) scheduling.Candidate {
	return scheduling.Candidate{
		Replica: replica.Replica, Zone: n.address.Zone, Region: n.regionName(), Home: home, Version: replica.Version,
		Staged: replica.Staged, Role: replica.Role, Draining: replica.Draining, Running: replica.Inflight,
		Waiting: replica.Queued, KVUsed: replica.KVUsed, KVTotal: replica.KVTotal, Limit: replica.Limit, ReportAge: age,
	}
}

func (n *node) regionName() port.RegionName { return n.endpoint.place.regionName() }
