package sim

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// router brings attempts to replicas.
type router interface {
	// route sends an attempt on its way, or refuses it.
	route(begun *attempt)
	// leave takes back the place of an attempt that ended.
	leave(ended *attempt, outcome gate.Outcome)
	// polled tells of a replica's new load report.
	polled(replica *replica)
	// capacity gives the replicas that may serve a pool.
	capacity(pool *samplePool) []policy.Replica
	// waiting counts the attempts that wait outside the engines.
	waiting() int
}

// buildRouter makes the router of the variant.
func (w *world) buildRouter() {
	if w.options.Variant.Routing == RoutingLoomgrade {
		w.router = newHomeRouter(w)
		return
	}
	w.router = newPlainRouter(w)
}

// plainRouter is a baseline: it sends each attempt at once to a replica chosen
// by a plain rule, and the engine's own queue, first come first served, holds
// what does not run. It counts what is in flight exactly, for all pools at once,
// which is more than a simple balancer would know.
type plainRouter struct {
	world     *world
	scheduler *scheduling.Scheduler
	random    *rand.Rand
	inflight  map[port.ReplicaID]int
	scratch   []scheduling.Candidate
}

// profileOf gives the scheduling profile of a plain rule.
func profileOf(routing Routing) scheduling.Profile {
	names := map[Routing]string{
		RoutingRoundRobin:    scheduling.ProfileRoundRobin,
		RoutingRandom:        scheduling.ProfileRandom,
		RoutingLeastInFlight: scheduling.ProfileLeastInflight,
	}
	profile, _ := scheduling.Baseline(names[routing])
	return profile
}

func newPlainRouter(w *world) *plainRouter {
	return &plainRouter{
		world: w, scheduler: scheduling.New(profileOf(w.options.Variant.Routing)),
		random:   rand.New(rand.NewPCG(w.options.Seed, nameSeed("plain router"))),
		inflight: make(map[port.ReplicaID]int),
	}
}

func (r *plainRouter) route(begun *attempt) {
	r.scratch = r.scratch[:0]
	adapter := begun.pool.settings.Adapter
	for _, replica := range r.world.replicas {
		version, _ := replica.report.Versions(adapter)
		candidate := scheduling.Candidate{
			Replica: replica.id, Zone: replica.zone, Version: version, Role: replica.report.Role,
			VersionUnknown: version == 0, Inflight: r.inflight[replica.id], ReportAge: noReport,
		}
		if adapter != "" {
			candidate.Adapters = []string{adapter}
		}
		r.scratch = append(r.scratch, candidate)
	}
	request := scheduling.Request{Pool: begun.pool.settings.Pool, MinVersion: begun.start.MinVersion, Adapter: adapter}
	result := r.scheduler.Pick(&request, r.scratch, r.random)
	if result.Chosen < 0 {
		begun.refused(port.NewError(port.NotRun, port.CodeNoBackEnd, "no replica can serve the request now"))
		return
	}
	chosen := r.world.replicas[result.Chosen]
	r.inflight[chosen.id]++
	begun.placeHeld, begun.replica, begun.at = true, chosen, chosen.zone
	r.world.after(begun.way(), func() { r.world.deliver(begun, chosen) })
}

// noReport keeps the baselines from looking at load reports.
const noReport = time.Hour

// deliver hands an attempt to its engine.
func (w *world) deliver(begun *attempt, chosen *replica) {
	if begun.cancelled || begun.ended {
		begun.leaveGate(gate.Outcome{Abandoned: true})
		begun.refused(port.NewError(port.NotRun, port.CodeCancelled, "cancelled by the coordinator"))
		return
	}
	begun.placed(chosen)
	if err := chosen.submit(begun); err != nil {
		begun.leaveGate(gate.Outcome{Abandoned: true})
		begun.refused(port.AsError(err))
	}
}

func (r *plainRouter) leave(ended *attempt, _ gate.Outcome) { r.inflight[ended.replica.id]-- }

func (r *plainRouter) polled(*replica) {}

func (r *plainRouter) capacity(pool *samplePool) []policy.Replica {
	var usable []policy.Replica
	for _, replica := range r.world.replicas {
		version, _ := replica.report.Versions(pool.settings.Adapter)
		if version == 0 {
			continue
		}
		usable = append(usable, policy.Replica{
			ID: replica.id, Zone: replica.zone, Version: version,
			Running: r.inflight[replica.id], Limit: replica.model.Config().MaxSequences,
		})
	}
	return usable
}

func (r *plainRouter) waiting() int { return 0 }
