package weightplan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Spread gives loads beyond those of Next, for models whose own replicas do not do
// for their open items: other replicas take their weights as well, as a replica
// holds several models and runs them beside each other. Begun are the loads that
// Next gave. As many replicas load a version as each model has if all share alike.
func Spread(replicas []sitestate.Replica, versions map[string]uint64, loading Loading, begun []Target, limits Limits) []Target {
	if limits.Needed == nil || len(loading)+len(begun) >= limits.Total {
		return nil
	}
	s := newSpread(replicas, versions, loading, begun, limits)
	if len(s.models) < 2 {
		return nil
	}
	var targets []Target
	for s.total < limits.Total {
		short := s.mostShort()
		if short == nil {
			return targets
		}
		replica, found := s.take(short)
		if !found {
			short.exhausted = true
			continue
		}
		targets = append(targets, Target{Replica: replica, Model: short.name, Version: short.published})
	}
	return targets
}

// spread holds how the models of a service stand while loads are chosen.
type spread struct {
	models []*modelStanding
	free   []*freeReplica
	// perVersion is how many replicas may load one version, total how many load.
	perVersion int
	total      int
	shards     map[string]sitestate.ShardNumber
}

// modelStanding is how a model stands.
type modelStanding struct {
	name      string
	published uint64
	needed    int
	// usable counts replicas whose weights do for the newest job, newest those that
	// have, or load, the published version.
	usable, newest int
	exhausted      bool
}

// freeReplica is a replica without an order under way.
type freeReplica struct {
	sitestate.Replica
	// settled is set if it has the published version of the model it is kept at, and
	// usable counts the models whose newest job it may serve.
	settled bool
	usable  int
	taken   bool
}

func newSpread(replicas []sitestate.Replica, versions map[string]uint64, loading Loading, begun []Target, limits Limits) *spread {
	underWay := Loading{}
	maps.Copy(underWay, loading)
	for _, target := range begun {
		underWay[target.Replica.ID] = target.Model
	}
	s := &spread{total: len(underWay), shards: limits.Shards}
	s.listModels(replicas, versions, limits)
	s.perVersion = max(1, len(replicas)/max(1, len(s.models)))
	for i := range replicas {
		s.add(replicas[i], underWay, limits)
	}
	return s
}

// listModels lists the models that replicas are kept at and that have a published
// version, in a fixed order.
func (s *spread) listModels(replicas []sitestate.Replica, versions map[string]uint64, limits Limits) {
	kept := map[string]bool{}
	for i := range replicas {
		if model := replicas[i].Model; versions[model] > 0 {
			kept[model] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		s.models = append(s.models, &modelStanding{name: name, published: versions[name], needed: limits.needed(name)})
	}
}

// add counts a replica.
func (s *spread) add(replica sitestate.Replica, loading Loading, limits Limits) {
	if limits.Resting[replica.ID] {
		return
	}
	loads, busy := loading[replica.ID]
	free := &freeReplica{Replica: replica}
	for _, model := range s.models {
		version := replica.VersionOf(model.name)
		if busy && loads == model.name {
			version = model.published
		}
		if version >= model.published {
			model.newest++
			free.settled = free.settled || model.name == replica.Model
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

// mostShort gives the model that has the fewest replicas for its need, nil if none
// is short of any.
func (s *spread) mostShort() *modelStanding {
	var most *modelStanding
	for _, model := range s.models {
		if model.exhausted || model.ready() >= model.needed || model.newest >= s.perVersion {
			continue
		}
		if most == nil || model.ready()*most.needed < most.ready()*model.needed {
			most = model
		}
	}
	return most
}

// ready is how many replicas the model can count on: those with the published
// version do for the job after the newest one as well, so that half of what is
// needed is enough of them, and has to be there.
func (m *modelStanding) ready() int { return min(m.usable, 2*m.newest) }

// take gives the replica that is to load a model: before others one that could not
// serve it, then one whose own model needs no load now, then the one that serves the
// fewest models.
func (s *spread) take(model *modelStanding) (sitestate.Replica, bool) {
	var best *freeReplica
	for _, replica := range s.free {
		if replica.taken || s.shards[replica.Model] != s.shards[model.name] ||
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
	best.taken = true
	s.total++
	model.newest++
	if !best.serves(model) {
		model.usable++
	}
	return best.Replica, true
}

// serves reports whether the replica's weights do for the model's newest job.
func (r *freeReplica) serves(model *modelStanding) bool {
	return r.VersionOf(model.name)+1 >= model.published
}

func (r *freeReplica) compare(other *freeReplica, model *modelStanding) int {
	return cmp.Or(
		rank(r.serves(model))-rank(other.serves(model)),
		rank(!r.settled)-rank(!other.settled),
		cmp.Compare(r.usable, other.usable),
	)
}

// rank puts false before true.
func rank(later bool) int {
	if later {
		return 1
	}
	return 0
}
