package localfleet

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Plan describes a site.
type Plan struct {
	// Cluster is the cluster id of the fleet.
	Cluster string
	Zones   []port.ZoneName
	// ControlMembers is the number of control members. It must be odd.
	ControlMembers int
	// NodesPerZone is the number of nodes in each zone.
	NodesPerZone int
	Engines      EnginePlan
	// Trainers is one trainer of the engines' own pool, or several whose pools share
	// the engines by adapter.
	Trainers    []TrainerPlan
	Application ApplicationPlan
	// Callers lists the classes of callers.
	Callers []load.Class
	// Seed seeds the control members, the nodes and the prompts.
	Seed uint64
}

// EnginePlan describes a pool of engines.
type EnginePlan struct {
	Pool     port.PoolName
	Replicas int
	// TimeScale is the factor by which the engine model runs faster than real time.
	TimeScale float64
	// Lengths is the distribution of sample lengths.
	Lengths engine.Lengths
}

// TrainerPlan describes one trainer and its pool.
type TrainerPlan struct {
	// Pool is the engines' own pool, or one that shares its replicas.
	Pool port.PoolName
	// Adapter is the adapter that the trainer publishes; empty means the base model.
	Adapter  string
	Sampling port.Sampling
	// StepTime is the duration of a training step.
	StepTime time.Duration
}

// ApplicationPlan describes a pool of application servers.
type ApplicationPlan struct {
	Pool        port.PoolName
	Replicas    int
	ServiceTime time.Duration
}

// DevPlan returns the site of `loomgrade dev`: three zones with one node each, four
// engines, three application servers and one trainer.
func DevPlan() Plan {
	return Plan{
		Cluster:        "dev",
		Zones:          []port.ZoneName{"zone-a", "zone-b", "zone-c"},
		ControlMembers: 3,
		NodesPerZone:   1,
		Engines: EnginePlan{
			Pool: "captions", Replicas: 4, TimeScale: 4,
			Lengths: engine.Lengths{Median: 80, Sigma: 0.7, Max: 800},
		},
		Trainers: []TrainerPlan{
			{Pool: "captions", Sampling: devSampling(), StepTime: 400 * time.Millisecond},
		},
		Application: ApplicationPlan{Pool: "pages", Replicas: 3, ServiceTime: 4 * time.Millisecond},
		Callers:     append(withPool("pages", load.InkwellCallers(1)), completionCallers("captions")...),
		Seed:        1,
	}
}

func devSampling() port.Sampling {
	return port.Sampling{
		Policy:         policy.Default,
		StalenessBound: 2,
		BatchSamples:   32,
		GroupSize:      4,
		MaxTokens:      800,
		BufferBatches:  2,
	}
}

// standardAdmission returns the admission settings of a pool.
func standardAdmission(maxInflight int, deadline time.Duration) port.Admission {
	return port.Admission{
		MinInflight:     1,
		MaxInflight:     maxInflight,
		QueueLength:     512,
		DefaultDeadline: port.Duration(deadline),
	}
}

func standardRetry() port.Retry {
	return port.Retry{
		MaxAttempts: 3,
		BudgetRatio: 0.2,
		BaseBackoff: port.Duration(20 * time.Millisecond),
		MaxBackoff:  port.Duration(time.Second),
	}
}

func standardEjection() port.Ejection {
	return port.Ejection{
		ConsecutiveFailures: 5,
		LatencyFactor:       4,
		BaseDuration:        port.Duration(2 * time.Second),
		MaxShare:            0.5,
	}
}

// zoneOf assigns replicas to zones in round-robin order.
func (p *Plan) zoneOf(index int) port.ZoneName { return p.Zones[index%len(p.Zones)] }

// replicas returns a pool's replicas, one for each address.
func (p *Plan) replicas(pool port.PoolName, addresses []string) []port.Replica {
	replicas := make([]port.Replica, len(addresses))
	for index, address := range addresses {
		replicas[index] = port.Replica{
			ID:      port.ReplicaID(fmt.Sprintf("%s-%d", pool, index+1)),
			Pool:    pool,
			Zone:    p.zoneOf(index),
			Address: address,
			State:   port.ReplicaActive,
		}
	}
	return replicas
}

// InkwellPlan returns the site of a comics reader: three zones, 8 engines, 3 page
// servers, one trainer.
func InkwellPlan() Plan {
	return Plan{
		Cluster:        "inkwell",
		Zones:          []port.ZoneName{"dub-north", "dub-south", "kildare"},
		ControlMembers: 3,
		NodesPerZone:   1,
		Engines: EnginePlan{
			Pool: "caption-lm", Replicas: 8, TimeScale: 4,
			Lengths: engine.Lengths{Median: 80, Sigma: 0.8, Max: 1000},
		},
		Trainers: []TrainerPlan{
			{Pool: "caption-lm", Sampling: devSampling(), StepTime: 400 * time.Millisecond},
		},
		Application: ApplicationPlan{Pool: "page-api", Replicas: 3, ServiceTime: 4 * time.Millisecond},
		Callers:     append(load.InkwellCallers(1), completionCallers("caption-lm")...),
		Seed:        1,
	}
}

// MareaPlan returns the site of a buoy data service: three halls, 9 engines shared by
// three trainers, 4 application servers.
func MareaPlan() Plan {
	plan := Plan{
		Cluster:        "marea",
		Zones:          []port.ZoneName{"hall-a", "hall-b", "hall-c"},
		ControlMembers: 3,
		NodesPerZone:   1,
		Engines: EnginePlan{
			Pool: "lm-pool", Replicas: 9, TimeScale: 4,
			Lengths: engine.Lengths{Median: 80, Sigma: 0.9, Max: 1200},
		},
		Application: ApplicationPlan{Pool: "buoy-api", Replicas: 4, ServiceTime: 4 * time.Millisecond},
		Callers:     append(load.MareaCallers(1), completionCallers("bulletins")...),
		Seed:        1,
	}
	for _, name := range []string{"bulletins", "anomaly-notes", "summaries"} {
		plan.Trainers = append(plan.Trainers, TrainerPlan{
			Pool: port.PoolName(name), Adapter: name, Sampling: devSampling(), StepTime: 600 * time.Millisecond,
		})
	}
	return plan
}

// withPool sets the pool of the callers.
func withPool(pool string, callers []load.Class) []load.Class {
	for index := range callers {
		callers[index].Pool = pool
	}
	return callers
}

// completionCallers returns callers that send requests to a generation pool directly,
// at a higher priority than the trainer's samples.
func completionCallers(pool string) []load.Class {
	return []load.Class{{
		Name: "completion", Pool: pool, Rate: 2, MaxTokens: 64, PromptTokens: 96,
		Priority: completionPriority, Timeout: generationDeadline,
	}}
}
