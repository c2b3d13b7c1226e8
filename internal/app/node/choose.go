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

// chooser makes the placement algorithm and its buffers safe for concurrent use.
type chooser struct {
	mutex      sync.Mutex
	core       *placement.Chooser
	scratch    []scheduling.Candidate
	capacities []placement.ZoneCapacity
}

func newChooser(seed uint64) *chooser {
	return &chooser{core: placement.New(rand.New(rand.NewPCG(seed, 2)))}
}

// target is the destination of an attempt. Without a replica, the node chooses one.
type target struct {
	node    port.NodeAddress
	replica port.ReplicaID
	// zoneCounters count the requests sent to another zone; nil within this zone.
	zoneCounters *requestCounters
}

// choose returns the target of an attempt: a replica of this zone, reached through its
// home, or a node of another zone with more free capacity.
func (n *Node) choose(accepted acceptance, job *generation, tried []port.ReplicaID) (target, *port.Error) {
	local, freePerReplica, refusal := n.chooseLocal(accepted, job, tried)
	if remote, found := n.chooseZone(accepted, job, freePerReplica, refusal != nil); found {
		remote.zoneCounters.sent.Add(1)
		return remote, nil
	}
	return local, refusal
}

// chooseLocal chooses a replica of this zone. It also returns the free capacity per
// replica of the zone.
func (n *Node) chooseLocal(accepted acceptance, job *generation, tried []port.ReplicaID) (target, float64, *port.Error) {
	if len(job.zones) > 0 && !slices.Contains(job.zones, n.config.Zone) {
		return target{}, 0, placement.NoReplica(nil)
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
	position, freePerReplica, refusal := c.core.Local(now, n.schedulingRequest(job), tried, c.scratch)
	if refusal != nil {
		return target{}, 0, refusal
	}
	chosen := c.scratch[position]
	home, known := accepted.snapshot.Nodes[chosen.Home]
	if !known {
		return target{}, 0, placement.NoReplica(nil)
	}
	return target{node: home, replica: chosen.Replica}, freePerReplica, nil
}

// schedulingRequest returns the scheduler's view of a request.
func (n *Node) schedulingRequest(job *generation) scheduling.Request {
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

// chooseZone chooses a node of another zone, if one has clearly more free capacity per
// replica or this zone has no replica for the request.
func (n *Node) chooseZone(accepted acceptance, job *generation, freePerReplica float64, noLocalReplica bool) (target, bool) {
	zones := accepted.route.OtherZones
	c := n.chooser
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.capacities = c.capacities[:0]
	for index := range zones {
		zone := &zones[index]
		capacity := placement.ZoneCapacity{Routable: zone.Aggregate.Routable, FreePerReplica: zone.FreePerReplica()}
		allowed := len(job.zones) == 0 || slices.Contains(job.zones, zone.Aggregate.Zone)
		if !allowed || len(zone.Nodes) == 0 {
			capacity.Routable = 0
		}
		c.capacities = append(c.capacities, capacity)
	}
	position, found := c.core.Zone(c.capacities, freePerReplica, noLocalReplica)
	if !found {
		return target{}, false
	}
	chosen := &zones[position]
	return target{node: chosen.Nodes[c.core.Draw(len(chosen.Nodes))], zoneCounters: chosen.Counter.(*requestCounters)}, true
}
