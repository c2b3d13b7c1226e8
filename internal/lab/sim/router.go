package sim

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// router routes attempts to replicas.
type router interface {
	// route routes an attempt, or refuses it.
	route(a *attempt)
	// release frees the slot of an attempt that ended.
	release(ended *attempt, outcome gate.Outcome)
	// reportUpdated handles a new load report of a replica.
	reportUpdated(replica *replica)
	// capacity returns the replicas that may serve a pool.
	capacity(pool *samplePool) []policy.Replica
	// waiting returns the number of attempts queued outside the engines.
	waiting() int
}

// buildRouter creates the router of the variant.
func (w *world) buildRouter() {
	if w.options.Variant.Routing == RoutingLoomgrade {
		w.router = newHomeRouter(w)
		return
	}
	w.router = newBaselineRouter(w)
}

// baselineRouter sends each attempt immediately to a replica chosen by a baseline
// profile; the engines queue the rest in FIFO order. It knows the exact number in
// flight over all pools, which is more than a simple load balancer would know.
type baselineRouter struct {
	world     *world
	scheduler *scheduling.Scheduler
	random    *rand.Rand
	inflight  map[port.ReplicaID]int
	scratch   []scheduling.Candidate
}

// profileOf returns the scheduling profile of a baseline.
func profileOf(routing Routing) scheduling.Profile {
	names := map[Routing]string{
		RoutingRoundRobin:    scheduling.ProfileRoundRobin,
		RoutingRandom:        scheduling.ProfileRandom,
		RoutingLeastInFlight: scheduling.ProfileLeastInflight,
	}
	profile, _ := scheduling.Baseline(names[routing])
	return profile
}

func newBaselineRouter(w *world) *baselineRouter {
	return &baselineRouter{
		world: w, scheduler: scheduling.New(profileOf(w.options.Variant.Routing)),
		random:   rand.New(rand.NewPCG(w.options.Seed, nameSeed("plain router"))),
		inflight: make(map[port.ReplicaID]int),
	}
}

func (r *baselineRouter) route(a *attempt) {
	r.scratch = r.scratch[:0]
	adapter := a.pool.settings.Adapter
	for _, replica := range r.world.replicas {
		version, _ := replica.report.Versions(adapter)
		candidate := scheduling.Candidate{
			Replica: replica.id, Zone: replica.zone, Version: version, Role: replica.report.Role,
			VersionUnknown: version == 0, Inflight: r.inflight[replica.id], ReportAge: staleReportAge,
		}
		if adapter != "" {
			candidate.Adapters = []string{adapter}
		}
		r.scratch = append(r.scratch, candidate)
	}
	request := scheduling.Request{Pool: a.pool.settings.Pool, MinVersion: a.start.MinVersion, Adapter: adapter}
	result := r.scheduler.Pick(&request, r.scratch, r.random)
	if result.Chosen < 0 {
		a.refused(port.NewError(port.NotRun, port.CodeNoBackEnd, "no replica can serve the request now"))
		return
	}
	chosen := r.world.replicas[result.Chosen]
	r.inflight[chosen.id]++
	a.slotHeld, a.replica, a.zone = true, chosen, chosen.zone
	r.world.after(a.coordinatorLatency(), func() { r.world.deliver(a, chosen) })
}

// staleReportAge makes baselines ignore load reports.
const staleReportAge = time.Hour

// deliver submits an attempt to its engine.
func (w *world) deliver(a *attempt, chosen *replica) {
	if a.cancelled || a.ended {
		a.release(gate.Outcome{Abandoned: true})
		a.refused(port.NewError(port.NotRun, port.CodeCancelled, "cancelled by the coordinator"))
		return
	}
	a.placed(chosen)
	if err := chosen.submit(a); err != nil {
		a.release(gate.Outcome{Abandoned: true})
		a.refused(port.AsError(err))
	}
}

func (r *baselineRouter) release(ended *attempt, _ gate.Outcome) { r.inflight[ended.replica.id]-- }

func (r *baselineRouter) reportUpdated(*replica) {}

func (r *baselineRouter) capacity(pool *samplePool) []policy.Replica {
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

func (r *baselineRouter) waiting() int { return 0 }
