package fleet

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Times between places, one way.
const (
	inZone     = 250 * time.Microsecond
	inRegion   = time.Millisecond
	nearRegion = 12 * time.Millisecond
	// farStep is added for each further region.
	farStep = 14 * time.Millisecond
)

const (
	groupSize      = 8
	poolLimit      = 64
	queueLength    = 256
	sampleTokens   = 25_000
	stalenessBound = 4
	weightStoreURL = "http://10.255.0.1:9000"
	promptURL      = "http://10.255.0.2:9000"
	scorerURL      = "http://10.255.0.3:9000"
)

// place is a zone within a region.
type place struct {
	region int
	zone   int
}

// placeOf spreads the zones over the regions: 3, 3, 3, 3 and 2.
func placeOf(zone int) place { return place{region: zone % regions, zone: zone} }

func (p place) zoneName() port.ZoneName {
	return port.ZoneName(fmt.Sprintf("region-%d-zone-%d", p.region+1, p.zone/regions+1))
}

func (p place) regionName() port.RegionName {
	return port.RegionName(fmt.Sprintf("region-%d", p.region+1))
}

// latency gives the one-way time between two places.
func latency(from, to place) time.Duration {
	switch {
	case from.zone == to.zone:
		return inZone
	case from.region == to.region:
		return inRegion
	}
	distance := from.region - to.region
	if distance < 0 {
		distance = -distance
	}
	distance = min(distance, regions-distance)
	return nearRegion + time.Duration(distance-1)*farStep
}

func poolName(number int) port.PoolName {
	return port.PoolName(fmt.Sprintf("trainer-%02d", number+1))
}

func replicaID(number int) port.ReplicaID {
	return port.ReplicaID(fmt.Sprintf("replica-%04d", number+1))
}

// replica gives the configuration of a replica: pools and zones in turn, so
// that every pool has replicas in every zone.
func replica(number int) port.Replica {
	where := placeOf(number / trainers % zones)
	return port.Replica{
		ID: replicaID(number), Pool: poolName(number % trainers), Zone: where.zoneName(),
		Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+number/62500, number/250%250, number%250+1),
		State:   port.ReplicaActive,
	}
}

func pool(number, samples int) port.Pool {
	return port.Pool{
		Name: poolName(number), Kind: port.PoolGeneration,
		Admission: port.Admission{MinInflight: poolLimit, MaxInflight: poolLimit, QueueLength: queueLength, DefaultDeadline: port.Duration(10 * time.Minute)},
		Retry:     port.Retry{MaxAttempts: 3, BudgetRatio: 0.1, BaseBackoff: port.Duration(50 * time.Millisecond), MaxBackoff: port.Duration(time.Second)},
		Ejection:  port.Ejection{ConsecutiveFailures: 5, LatencyFactor: 4, BaseDuration: port.Duration(10 * time.Second), MaxShare: 0.3},
		Sampling: &port.Sampling{
			StalenessBound: stalenessBound, BatchSamples: max(samples, groupSize), GroupSize: groupSize, MaxTokens: 2 * sampleTokens,
			PromptSource: promptURL, Scorer: scorerURL, WeightStore: weightStoreURL, BufferBatches: 1,
		},
	}
}

// nodeAddress gives the address of a node process.
func nodeAddress(number int) port.NodeAddress {
	host := fmt.Sprintf("10.%d.%d.%d", number/62500, number/250%250, number%250+1)
	return port.NodeAddress{
		ID: port.NodeID(fmt.Sprintf("node-%03d", number+1)), Zone: placeOf(number % zones).zoneName(),
		PeerAddress: host + ":7000", HTTPAddress: host + ":8080",
	}
}

// edits gives the first configuration.
func edits(options Options) []port.Edit {
	var all []port.Edit
	for number := range trainers {
		made := pool(number, options.Samples)
		all = append(all, port.Edit{PutPool: &made})
	}
	for number := range options.Replicas {
		made := replica(number)
		all = append(all, port.Edit{PutReplica: &made})
	}
	return all
}
