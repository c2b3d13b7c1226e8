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
	// minConcurrentLoads, maxServiceLoadShare and maxModelLoadShare limit the replicas
	// that load concurrently: those of a service, and those of one of its models.
	minConcurrentLoads  = 2
	maxServiceLoadShare = 0.2
	maxModelLoadShare   = 0.34
	// planPauseFactor is the pause between plans relative to the duration of one. It limits
	// the leader's processor time for planning: a plan considers all engines, which takes
	// 9 ms for 8,000 of them.
	planPauseFactor = 15
	// maxPlanPause limits that pause: planning may have waited for a quorum.
	maxPlanPause = 300 * time.Millisecond
	// moveInterval is the minimum time between two moves of replicas to another model.
	moveInterval = 3 * time.Second
)

// weightsManager brings replicas to the published versions of weights. Only the leader sends
// orders, and only while it holds the lease.
type weightsManager struct {
	control *Control
	replica *replicacall.Client

	movedAt time.Time
	// planAt is the earliest time of the next plan.
	planAt time.Time

	mutex   sync.Mutex
	loading weightplan.Loading
	// backoffs are those of replicas whose last load failed.
	backoffs map[string]backoff
	// reached are versions seen in reports, newer than those in heartbeats.
	reached map[string][]sitestate.ModelVersion
}

func newWeightsManager(control *Control) *weightsManager {
	return &weightsManager{
		control: control, replica: replicacall.New(control.config.Dialect, maxOrderConnections),
		loading: weightplan.Loading{}, backoffs: map[string]backoff{}, reached: map[string][]sitestate.ModelVersion{},
	}
}

// tick assigns models to replicas, then plans and starts loads. Models are assigned before
// any version is published because they decide which shard's items a replica gets.
func (w *weightsManager) tick(ctx context.Context, leads bool) {
	started := time.Now()
	if !leads || started.Before(w.planAt) {
		return
	}
	defer func() { w.planAt = started.Add(min(maxPlanPause, time.Since(started)*planPauseFactor)) }()
	view := w.control.view.Load()
	for _, service := range w.control.engineServices() {
		replicas := w.readyReplicas(view, service.Name)
		if w.assign(ctx, service, replicas) || len(view.Weights) == 0 || !w.control.lease.acquire(ctx) {
			continue
		}
		w.planLoads(ctx, view, service, replicas)
	}
}

// assign changes the models assigned to replicas, and reports whether any change was due.
func (w *weightsManager) assign(ctx context.Context, service routing.Service, replicas []sitestate.Replica) bool {
	demand, _ := w.control.stores.reportedDemand()
	mayMove := len(demand) > 0 && time.Since(w.movedAt) > moveInterval
	changes := weightplan.Assign(replicas, modelsOf(service, replicas), demand, mayMove)
	if len(changes) == 0 {
		return false
	}
	_, err := w.control.propose(ctx, sitestate.Command{Assign: &sitestate.Assign{Models: changes}})
	w.movedAt = time.Now()
	w.control.config.Logger.Info().Str(eventlog.Field, eventlog.WeightsAssigned).Str("service", service.Name).Str("changes", formatChanges(changes)).
		Str("demand", fmt.Sprint(demand)).Err(err).Msg("replicas were assigned to other models")
	return true
}

// formatChanges formats the changed replicas, or only their number if there are many.
func formatChanges(changes map[string]string) string {
	const maxShown = 20
	if len(changes) > maxShown {
		return fmt.Sprint(len(changes), " replicas")
	}
	return fmt.Sprint(changes)
}

// planLoads starts the loads that are due.
func (w *weightsManager) planLoads(ctx context.Context, view *sitestate.View, service routing.Service, replicas []sitestate.Replica) {
	_, open := w.control.stores.reportedDemand()
	loading, inBackoff := w.pendingLoads(time.Now())
	limits := weightplan.Limits{
		Total: max(minConcurrentLoads, int(maxServiceLoadShare*float64(len(replicas)))), Share: maxModelLoadShare, InBackoff: inBackoff,
		Shards: view.Placed,
	}
	if w.servesOnlyJobs(service.Name) && len(replicas) > 0 {
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

// pendingLoads returns the replicas that are loading, and those in backoff.
func (w *weightsManager) pendingLoads(now time.Time) (loading weightplan.Loading, inBackoff map[string]bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	inBackoff = map[string]bool{}
	for id, entry := range w.backoffs {
		inBackoff[id] = now.Before(entry.until)
	}
	return maps.Clone(w.loading), inBackoff
}

// servesOnlyJobs reports whether a service gets requests only from jobs. Only then is the
// number of needed replicas with new weights known.
func (w *weightsManager) servesOnlyJobs(service string) bool {
	for _, route := range w.control.table.Load().Document().Routes {
		if route.Kind != routing.KindJobs && route.RoutesTo(service) {
			return false
		}
	}
	return true
}

// modelsOf lists the models of a service: the configured ones, else those that its replicas
// report.
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

// readyReplicas lists the replicas of a service with their newest known versions.
func (w *weightsManager) readyReplicas(view *sitestate.View, service string) []sitestate.Replica {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ready := view.ByService[service].Slice()
	for i := range ready {
		if reached, seen := w.reached[ready[i].ID]; seen {
			ready[i].Models = mergeVersions(ready[i].Models, reached)
		}
	}
	removed := func(id string) bool { return !view.Replicas.Has(id) }
	maps.DeleteFunc(w.reached, func(id string, _ []sitestate.ModelVersion) bool { return removed(id) })
	maps.DeleteFunc(w.backoffs, func(id string, _ backoff) bool { return removed(id) })
	return ready
}

func mergeVersions(current, reached []sitestate.ModelVersion) []sitestate.ModelVersion {
	merged := slices.Clone(current)
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
