package sitecontrol

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/weightplan"
)

const (
	// leastLoadsAtOnce, loadsShare and loadShare bound the replicas that load:
	// of a service, and of one model's replicas in it.
	leastLoadsAtOnce = 2
	loadsShare       = 0.2
	loadShare        = 0.34
	// planRest is how much longer the planner rests than it took: a plan looks at all engines,
	// 9 ms for 8,000 of them, and must not take the leader's processor from everything else.
	planRest = 15
	// longestPlanRest bounds that: a plan may have waited for a quorum.
	longestPlanRest = 300 * time.Millisecond
	// movePause is the least time between two moves of a replica to another
	// model.
	movePause = 3 * time.Second
)

// weightsManager brings replicas to the published versions of weights. Only
// the leader orders, and only while it holds the lease.
type weightsManager struct {
	control *Control
	replica *replicacall.Client

	movedAt time.Time
	// restUntil is when the next plan may be made.
	restUntil time.Time

	mutex   sync.Mutex
	loading weightplan.Loading
	// resting are replicas whose last load failed.
	resting map[string]rest
	// reached are versions that reports showed, newer than heartbeats.
	reached map[string][]sitestate.ModelVersion
}

func newWeightsManager(control *Control) *weightsManager {
	return &weightsManager{
		control: control, replica: replicacall.New(control.config.Dialect, connectionsForOrders),
		loading: weightplan.Loading{}, resting: map[string]rest{}, reached: map[string][]sitestate.ModelVersion{},
	}
}

// tend keeps replicas at models, then plans and begins loads. The model decides which
// shard's items go to a replica, so that it is given before any version is published.
func (w *weightsManager) tend(ctx context.Context, leads bool) {
	began := time.Now()
	if !leads || began.Before(w.restUntil) {
		return
	}
	defer func() { w.restUntil = began.Add(min(longestPlanRest, time.Since(began)*planRest)) }()
	view := w.control.view.Load()
	for _, service := range w.control.engineServices() {
		replicas := w.readyReplicas(view, service.Name)
		if w.assign(ctx, service, replicas) || len(view.Weights) == 0 || !w.control.lease.hold(ctx) {
			continue
		}
		w.planLoads(ctx, view, service, replicas)
	}
}

// assign changes the models that replicas are kept at, and reports whether any was to
// change.
func (w *weightsManager) assign(ctx context.Context, service routing.Service, replicas []sitestate.Replica) bool {
	demand, _ := w.control.stores.reportedDemand()
	mayMove := len(demand) > 0 && time.Since(w.movedAt) > movePause
	changes := weightplan.Assign(replicas, modelsOf(service, replicas), demand, mayMove)
	if len(changes) == 0 {
		return false
	}
	_, err := w.control.propose(ctx, sitestate.Command{Assign: &sitestate.Assign{Models: changes}})
	w.movedAt = time.Now()
	w.control.config.Logger.Info().Str(eventlog.Field, eventlog.WeightsAssigned).Str("service", service.Name).Str("changes", shownChanges(changes)).
		Str("demand", fmt.Sprint(demand)).Err(err).Msg("replicas are kept at other models from now on")
	return true
}

// shownChanges tells which replicas change, or how many where they are too many for a line.
func shownChanges(changes map[string]string) string {
	const mostShown = 20
	if len(changes) > mostShown {
		return fmt.Sprint(len(changes), " replicas")
	}
	return fmt.Sprint(changes)
}

// planLoads begins the loads that are due.
func (w *weightsManager) planLoads(ctx context.Context, view *sitestate.View, service routing.Service, replicas []sitestate.Replica) {
	_, open := w.control.stores.reportedDemand()
	loading, resting := w.underWay(time.Now())
	limits := weightplan.Limits{
		Total: max(leastLoadsAtOnce, int(loadsShare*float64(len(replicas)))), Share: loadShare, InBackoff: resting,
		Shards: view.Placed,
	}
	if w.onlyForJobs(service.Name) && len(replicas) > 0 {
		limits.Needed = weightplan.NeededReplicas(open, replicas[0].Slots)
	}
	targets := weightplan.Next(replicas, view.Weights, loading, limits)
	targets = append(targets, weightplan.ExtraLoads(replicas, view.Weights, loading, targets, limits)...)
	for _, target := range targets {
		w.mutex.Lock()
		w.loading[target.Replica.ID] = target.Model
		w.mutex.Unlock()
		go w.load(ctx, target)
	}
}

// underWay gives the replicas that load, and those left alone for now.
func (w *weightsManager) underWay(now time.Time) (loading weightplan.Loading, resting map[string]bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	resting = map[string]bool{}
	for id, rest := range w.resting {
		resting[id] = now.Before(rest.until)
	}
	return maps.Clone(w.loading), resting
}

// onlyForJobs reports whether nothing but items of jobs reaches a service. Only
// for these is it known how many replicas with new weights are needed.
func (w *weightsManager) onlyForJobs(service string) bool {
	for _, route := range w.control.table.Load().Document().Routes {
		if route.Kind != routing.KindJobs && route.RoutesTo(service) {
			return false
		}
	}
	return true
}

// modelsOf lists the models of a service: those it states, else those that its
// replicas report.
func modelsOf(service routing.Service, replicas []sitestate.Replica) []string {
	if len(service.Engine.Models) > 0 {
		return service.Engine.Models
	}
	reported := map[string]bool{}
	for _, replica := range replicas {
		for _, served := range replica.Models {
			reported[served.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(reported))
}

// readyReplicas lists the replicas of a service with the newest versions known.
func (w *weightsManager) readyReplicas(view *sitestate.View, service string) []sitestate.Replica {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ready := view.ByService[service].Slice()
	for i := range ready {
		if reached, seen := w.reached[ready[i].ID]; seen {
			ready[i].Models = newest(ready[i].Models, reached)
		}
	}
	gone := func(id string) bool { return !view.Replicas.Has(id) }
	maps.DeleteFunc(w.reached, func(id string, _ []sitestate.ModelVersion) bool { return gone(id) })
	maps.DeleteFunc(w.resting, func(id string, _ rest) bool { return gone(id) })
	return ready
}

func newest(held, reached []sitestate.ModelVersion) []sitestate.ModelVersion {
	merged := slices.Clone(held)
	for _, seen := range reached {
		i := slices.IndexFunc(merged, func(model sitestate.ModelVersion) bool { return model.Name == seen.Name })
		switch {
		case i < 0:
			merged = append(merged, seen)
		case merged[i].Version < seen.Version:
			merged[i] = seen
		}
	}
	return merged
}
