package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/scheduling"
)

// placementInterval paces the measured placements: a few requests of each node
// stand for all.
const placementInterval = 5 * time.Second

// placements measures placements.
type placements struct {
	count      int
	placed     int
	candidates int
	busy       time.Duration
}

// rebuilds measures how traffic's view of the fleet is made anew.
type rebuilds struct {
	count int
	busy  time.Duration
}

// samplePlacement chooses a replica for one request among those of the zone, as
// the accepting node does; the request is not sent.
func (n *node) samplePlacement() time.Duration {
	p := &n.fleet.placements
	name := poolName(n.fleet.random.IntN(trainers))
	route := n.snapshot.Pools[name]
	if route == nil {
		return placementInterval
	}
	now := n.fleet.wall()
	began := time.Now()
	zone := make([]scheduling.Candidate, 0, len(route.Zone))
	for index := range route.Zone {
		zone = append(zone, route.Zone[index].Now(now))
	}
	request := scheduling.Request{Pool: name, Zone: n.address.Zone, PromptTokens: promptBytes / 4, MaxTokens: sampleTokens}
	_, _, refusal := n.chooser.Local(now, request, nil, zone)
	p.busy += time.Since(began)
	p.count++
	p.candidates += len(zone)
	if refusal == nil {
		p.placed++
	}
	return placementInterval
}
