package weightplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Target is a load to be ordered.
type Target struct {
	Replica sitestate.Replica
	Model   string
	Version uint64
}

// Loading names the replicas with an order under way, with the model that it is
// about. A replica carries out one order at a time.
type Loading map[string]string

// Limits bound the loads that run at once.
type Limits struct {
	// Total is for all replicas of the service.
	Total int
	// Share is the largest part of a model's replicas that may load while their
	// weights still do for the newest job; at least one may. Replicas that are too
	// old for it are not bound by it: it cannot use them until they have loaded.
	Share float64
	// Needed is how many replicas of a model its work needs, LeastNeeded if none
	// is stated; those beyond keep the weights that they have. Nil needs all.
	Needed map[string]int
	// Resting names replicas whose last load failed and that are left alone for
	// now. They take no part, so that they keep no other from loading.
	Resting map[string]bool
	// Shards are those that the models' jobs are in. Items of a shard go only to
	// replicas that are kept at a model of the same one.
	Shards map[string]sitestate.ShardNumber
}

func (l Limits) needed(model string) int {
	if needed, stated := l.Needed[model]; stated {
		return needed
	}
	return LeastNeeded
}

// Need gives how many replicas with so many slots each carry so many open items
// of each model, with a reserve for replicas that fail or are slow.
func Need(open map[string]int, slots int) map[string]int {
	needed := make(map[string]int, len(open))
	for model, items := range open {
		needed[model] = max(LeastNeeded, int(math.Ceil(needReserve*float64(items)/float64(max(1, slots)))))
	}
	return needed
}

const (
	// LeastNeeded keeps a model that has hardly any work ready for some.
	LeastNeeded = 4
	// needReserve is what is kept ready for one replica's worth of open items.
	needReserve = 1.5
)

// Next gives the loads to order now, the replica furthest behind first.
// Versions are the published ones by model. Jobs take text of the version before
// the newest too, so a replica that is one behind loads only as long as less
// than half of its model's replicas have the newest: each then loads about every
// other version, and half of them serve a new job at once.
func Next(replicas []sitestate.Replica, versions map[string]uint64, loading Loading, limits Limits) []Target {
	kept := newKeeper(replicas, loading, limits)
	total := 0
	ofModel, loadingOf, newest := map[string]int{}, map[string]int{}, map[string]int{}
	var behind []Target
	for _, replica := range replicas {
		if !kept.take(&replica) {
			continue
		}
		published := versions[replica.Model]
		ofModel[replica.Model]++
		if model, busy := loading[replica.ID]; busy {
			total++
			if model == replica.Model {
				loadingOf[model]++
				newest[model]++
				continue
			}
		}
		if replica.Model == "" || replica.VersionOf(replica.Model) >= published {
			newest[replica.Model]++
			continue
		}
		if _, busy := loading[replica.ID]; busy {
			continue
		}
		behind = append(behind, Target{Replica: replica, Model: replica.Model, Version: published})
	}
	slices.SortStableFunc(behind, func(a, b Target) int {
		return cmp.Compare(a.Replica.VersionOf(a.Model), b.Replica.VersionOf(b.Model))
	})
	var next []Target
	for _, target := range behind {
		most := max(1, int(limits.Share*float64(ofModel[target.Model])))
		usable := target.Replica.VersionOf(target.Model)+1 >= target.Version
		enough := newest[target.Model] >= max(1, ofModel[target.Model]/2)
		if total >= limits.Total || (usable && (enough || loadingOf[target.Model] >= most)) {
			continue
		}
		next = append(next, target)
		total++
		loadingOf[target.Model]++
		newest[target.Model]++
	}
	return next
}
