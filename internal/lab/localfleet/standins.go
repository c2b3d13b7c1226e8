package localfleet

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Settings of the stand-ins that a Plan does not include.
const (
	weightBytes          = 1 << 20
	weightRate           = 16 << 20 // bytes per second, shared by all engines
	machineListLag       = 500 * time.Millisecond
	engineLoadLag        = 200 * time.Millisecond
	engineCacheLag       = 500 * time.Millisecond
	engineCacheGapEvery  = 1000
	generationInflight   = 32
	generationDeadline   = 2 * time.Minute
	applicationInflight  = 64
	applicationDeadline  = 5 * time.Second
	samplingPoolPriority = 0
	completionPriority   = 5
)

// standIns holds the running stand-ins of a fleet.
type standIns struct {
	engines      []*standin.Engine
	applications []*standin.Application
	weights      *standin.WeightStore
	scorer       *standin.Scorer
	machines     *standin.MachineList
	trainers     []*standin.Trainer
}

func startStandIns(ctx context.Context, plan *Plan, nodeURLs []string) (*standIns, error) {
	all := &standIns{}
	steps := []func() error{
		func() error { return all.startEngines(ctx, plan) },
		func() error { return all.startApplications(ctx, plan) },
		func() error { return all.startPlatform(ctx) },
		func() error { return all.startTrainers(ctx, plan, nodeURLs) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			all.close()
			return nil, err
		}
	}
	return all, nil
}

func (s *standIns) startEngines(ctx context.Context, plan *Plan) error {
	for range plan.Engines.Replicas {
		config := standin.EngineConfig{
			TimeScale:     plan.Engines.TimeScale,
			Lengths:       plan.Engines.Lengths,
			LoadLag:       engineLoadLag,
			CacheLag:      engineCacheLag,
			CacheGapEvery: engineCacheGapEvery,
		}
		config.Model.CacheEvents = true
		config.Model.WeightBytes = weightBytes
		started, err := standin.StartEngine(ctx, config)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, started)
	}
	return nil
}

func (s *standIns) startApplications(ctx context.Context, plan *Plan) error {
	for range plan.Application.Replicas {
		config := standin.ApplicationConfig{ServiceTime: plan.Application.ServiceTime}
		started, err := standin.StartApplication(ctx, config)
		if err != nil {
			return err
		}
		s.applications = append(s.applications, started)
	}
	return nil
}

func (s *standIns) startPlatform(ctx context.Context) error {
	var err error
	if s.weights, err = standin.StartWeightStore(ctx, standin.WeightStoreConfig{
		BytesPerSecond: weightRate, Bytes: weightBytes,
	}); err != nil {
		return err
	}
	if s.scorer, err = standin.StartScorer(ctx, standin.ScorerConfig{}); err != nil {
		return err
	}
	s.machines, err = standin.StartMachineList(ctx, standin.MachineListConfig{
		Lag:  machineListLag,
		Live: append(s.engineAddresses(), s.applicationAddresses()...),
	})
	return err
}

func (s *standIns) startTrainers(ctx context.Context, plan *Plan, nodeURLs []string) error {
	for index, trainer := range plan.Trainers {
		started, err := standin.StartTrainer(ctx, standin.TrainerConfig{
			Nodes:        nodeURLs,
			Cluster:      plan.Cluster,
			Pool:         string(trainer.Pool),
			Name:         "trainer-" + string(trainer.Pool),
			StepTime:     trainer.StepTime,
			FirstVersion: uint64(firstVersion),
			WeightBytes:  weightBytes,
			Prompts:      standin.PromptConfig{Seed: plan.Seed + uint64(index)},
		})
		if err != nil {
			return err
		}
		s.trainers = append(s.trainers, started)
	}
	return nil
}

func (s *standIns) engineAddresses() []string {
	addresses := make([]string, len(s.engines))
	for index, started := range s.engines {
		addresses[index] = started.Addr()
	}
	return addresses
}

func (s *standIns) applicationAddresses() []string {
	addresses := make([]string, len(s.applications))
	for index, started := range s.applications {
		addresses[index] = started.Addr()
	}
	return addresses
}

func (s *standIns) observations() audit.Observations {
	var all audit.Observations
	for _, started := range s.engines {
		all.Merge(started.Observations())
	}
	for _, started := range s.applications {
		all.Merge(started.Observations())
	}
	for _, started := range s.trainers {
		all.Merge(started.Observations())
	}
	all.Merge(s.machines.Observations())
	return all
}

// closeTrainers stops the trainers before the nodes, so that none calls a closing node.
func (s *standIns) closeTrainers() {
	for _, started := range s.trainers {
		started.Close()
	}
}

func (s *standIns) close() {
	s.closeTrainers()
	for _, started := range s.engines {
		started.Close()
	}
	for _, started := range s.applications {
		started.Close()
	}
	if s.weights != nil {
		s.weights.Close()
	}
	if s.scorer != nil {
		s.scorer.Close()
	}
	if s.machines != nil {
		s.machines.Close()
	}
}

// configuration returns the configuration of the site.
func (p *Plan) configuration(all *standIns) port.Configuration {
	configuration := port.Configuration{
		Pools: []port.Pool{
			pool(p.Engines.Pool, port.PoolGeneration, standardAdmission(generationInflight, generationDeadline)),
			pool(p.Application.Pool, port.PoolApplication, standardAdmission(applicationInflight, applicationDeadline)),
		},
		Replicas: append(p.replicas(p.Engines.Pool, all.engineAddresses()),
			p.replicas(p.Application.Pool, all.applicationAddresses())...),
		MachineList: all.machines.URL(),
	}
	for index, trainer := range p.Trainers {
		sampling := trainer.Sampling
		sampling.Priority = samplingPoolPriority
		sampling.PromptSource = all.trainers[index].URL()
		sampling.Scorer = all.scorer.URL()
		sampling.WeightStore = all.weights.URL()
		if trainer.Pool == p.Engines.Pool {
			configuration.Pools[0].Sampling = &sampling
			continue
		}
		shared := pool(trainer.Pool, port.PoolGeneration, standardAdmission(generationInflight, generationDeadline))
		shared.ReplicasOf, shared.Adapter, shared.Sampling = p.Engines.Pool, trainer.Adapter, &sampling
		configuration.Pools = append(configuration.Pools, shared)
	}
	return configuration
}

func pool(name port.PoolName, kind port.PoolKind, admission port.Admission) port.Pool {
	return port.Pool{
		Name: name, Kind: kind, Admission: admission,
		Retry: standardRetry(), Ejection: standardEjection(),
	}
}

// Engine returns the stand-in of one engine.
func (f *Fleet) Engine(index int) *standin.Engine { return f.standIns.engines[index] }

// Application returns the stand-in of one application server.
func (f *Fleet) Application(index int) *standin.Application { return f.standIns.applications[index] }

// Trainers returns the trainers in the order of the plan.
func (f *Fleet) Trainers() []*standin.Trainer { return f.standIns.trainers }

// Scorer returns the scoring service.
func (f *Fleet) Scorer() *standin.Scorer { return f.standIns.scorer }

// Weights returns the weight store.
func (f *Fleet) Weights() *standin.WeightStore { return f.standIns.weights }

// Machines returns the machine list.
func (f *Fleet) Machines() *standin.MachineList { return f.standIns.machines }
