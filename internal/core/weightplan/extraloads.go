package weightplan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// ExtraLoads returns loads in addition to those of Next, for models whose own replicas are too few
// for their open items: other replicas load their weights too, since a replica can serve several
// models. Started are the loads returned by Next. The number of replicas that load a version is
// limited to an equal share per model.
func ExtraLoads(replicas []sitestate.Replica, versions map[string]uint64, loading Loading, started []Target, limits Limits) []Target {
	if limits.Needed == nil || len(loading)+len(started) >= limits.Total {
		return nil
	}
	s := newSpreadPlan(replicas, versions, loading, started, limits)
	if len(s.models) < 2 {
		return nil
	}
	var targets []Target
	for s.total < limits.Total {
		model := s.leastReady()
		if model == nil {
			return targets
		}
		replica, found := s.selectReplica(model)
		if !found {
			model.exhausted = true
			continue
		}
		targets = append(targets, Target{Replica: replica, Model: model.name, Version: model.published})
	}
	return targets
}

// spreadPlan is the state of a service's models while loads are selected.
type spreadPlan struct {
	models []*modelState
	free   []*freeReplica
	// perVersion limits the replicas that load one version; total is the number of loads.
	perVersion int
	total      int
	shards     map[string]sitestate.ShardNumber
}

// modelState is the state of a model.
type modelState struct {
	name      string
	published uint64
	needed    int
	// usable counts replicas whose weights are usable for the newest job, newest those that
	// have or load the published version.
	usable, newest int
	exhausted      bool
}

// freeReplica is a replica that is not loading.
type freeReplica struct {
	sitestate.Replica
	// upToDate is set if it has the published version of its assigned model; usable counts
	// the models whose newest job it can serve.
	upToDate bool
	usable   int
	selected bool
}

func newSpreadPlan(replicas []sitestate.Replica, versions map[string]uint64, loading Loading, started []Target, limits Limits) *spreadPlan {
	inProgress := Loading{}
	maps.Copy(inProgress, loading)
	for _, target := range started {
		inProgress[target.Replica.ID] = target.Model
	}
	s := &spreadPlan{total: len(inProgress), shards: limits.Shards}
	s.listModels(replicas, versions, limits)
	s.perVersion = max(1, len(replicas)/max(1, len(s.models)))
	for i := range replicas {
		s.add(replicas[i], inProgress, limits)
	}
	return s
}

// listModels lists the assigned models that have a published version, sorted by name.
func (s *spreadPlan) listModels(replicas []sitestate.Replica, versions map[string]uint64, limits Limits) {
	assigned := map[string]bool{}
	for i := range replicas {
		if model := replicas[i].Model; versions[model] > 0 {
			assigned[model] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(assigned)) {
		s.models = append(s.models, &modelState{name: name, published: versions[name], needed: limits.needed(name)})
	}
}

// add adds a replica to the counts.
func (s *spreadPlan) add(replica sitestate.Replica, loading Loading, limits Limits) {
	if limits.InBackoff[replica.ID] {
		return
	}
	loadingModel, busy := loading[replica.ID]
	free := &freeReplica{Replica: replica}
	for _, model := range s.models {
		version := replica.VersionOf(model.name)
		if busy && loadingModel == model.name {
			version = model.published
		}
		if version >= model.published {
			model.newest++
			free.upToDate = free.upToDate || model.name == replica.Model
		}
		if version+1 >= model.published {
			model.usable++
			free.usable++
		}
	}
	if !busy {
		s.free = append(s.free, free)
	}
}

// leastReady returns the model with the fewest ready replicas relative to its need, nil if no
// model needs more.
func (s *spreadPlan) leastReady() *modelState {
	var lowest *modelState
	for _, model := range s.models {
		if model.exhausted || model.ready() >= model.needed || model.newest >= s.perVersion {
			continue
		}
		if lowest == nil || model.ready()*lowest.needed < lowest.ready()*model.needed {
			lowest = model
		}
	}
	return lowest
}

// ready returns the number of replicas that can serve the model's jobs. Replicas with the
// published version also serve the job after the newest, so half of the needed replicas must
// have it and are sufficient.
func (m *modelState) ready() int { return min(m.usable, 2*m.newest) }

// selectReplica selects the replica that loads a model: preferably one that cannot serve it,
// then one whose assigned model is up to date, then the one that serves the fewest models.
func (s *spreadPlan) selectReplica(model *modelState) (sitestate.Replica, bool) {
	var best *freeReplica
	for _, replica := range s.free {
		if replica.selected || s.shards[replica.Model] != s.shards[model.name] ||
			replica.Model == model.name || replica.VersionOf(model.name) >= model.published {
			continue
		}
		if best == nil || replica.compare(best, model) < 0 {
			best = replica
		}
	}
	if best == nil {
		return sitestate.Replica{}, false
	}
	best.selected = true
	s.total++
	model.newest++
	if !best.serves(model) {
		model.usable++
	}
	return best.Replica, true
}

// serves reports whether the replica's weights are usable for the model's newest job.
func (r *freeReplica) serves(model *modelState) bool {
	return r.VersionOf(model.name)+1 >= model.published
}

func (r *freeReplica) compare(other *freeReplica, model *modelState) int {
	return cmp.Or(
		boolRank(r.serves(model))-boolRank(other.serves(model)),
		boolRank(!r.upToDate)-boolRank(!other.upToDate),
		cmp.Compare(r.usable, other.usable),
	)
}

// boolRank orders false before true.
func boolRank(later bool) int {
	if later {
		return 1
	}
	return 0
}
