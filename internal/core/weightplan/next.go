package weightplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Target is a load to start.
type Target struct {
	Replica sitestate.Replica
	Model   string
	Version uint64
}

// Loading maps the replicas that are loading to the model they load. A replica loads one model
// at a time.
type Loading map[string]string

// Limits restrict concurrent loads.
type Limits struct {
	// Total is the limit for all replicas of the service.
	Total int
	// Share is the maximum fraction of a model's replicas, at least one replica, that may load
	// while their weights are usable for the newest job. Replicas with older weights are
	// exempt, since they serve no new job until they have loaded.
	Share float64
	// Needed is the number of replicas that a model needs, MinNeeded if absent; the others keep
	// their weights. If nil, all replicas are needed.
	Needed map[string]int
	// InBackoff contains replicas whose last load failed and that are in backoff. The plan skips
	// them, so that they do not block the loads of others.
	InBackoff map[string]bool
	// Shards maps models to shards. Items of a shard run only on replicas whose assigned model
	// is in the same shard.
	Shards map[string]sitestate.ShardNumber
}

func (l Limits) needed(model string) int {
	if needed, found := l.Needed[model]; found {
		return needed
	}
	return MinNeeded
}

// NeededReplicas returns the number of replicas per model that the open items need, with a
// reserve for replicas that fail or are slow. Slots is the number of slots per replica.
func NeededReplicas(open map[string]int, slots int) map[string]int {
	needed := make(map[string]int, len(open))
	for model, items := range open {
		needed[model] = max(MinNeeded, int(math.Ceil(reserveFactor*float64(items)/float64(max(1, slots)))))
	}
	return needed
}

const (
	// MinNeeded is the number of replicas kept up to date for a model with little work.
	MinNeeded = 4
	// reserveFactor is the capacity to provide relative to the open items.
	reserveFactor = 1.5
)

// Next returns the loads to start now, the replicas with the oldest weights first. Versions maps
// models to their published versions. Jobs accept text of the previous version too, so a replica
// that is one version behind loads only while fewer than half of its model's replicas have the
// newest version. Each replica then loads about every second version, and half of them can serve
// a new job immediately.
func Next(replicas []sitestate.Replica, versions map[string]uint64, loading Loading, limits Limits) []Target {
	selected := newSelector(replicas, loading, limits)
	total := 0
	ofModel, loadingOf, newest := map[string]int{}, map[string]int{}, map[string]int{}
	var outdated []Target
	for _, replica := range replicas {
		if !selected.selects(&replica) {
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
		outdated = append(outdated, Target{Replica: replica, Model: replica.Model, Version: published})
	}
	slices.SortStableFunc(outdated, func(a, b Target) int {
		return cmp.Compare(a.Replica.VersionOf(a.Model), b.Replica.VersionOf(b.Model))
	})
	var next []Target
	for _, target := range outdated {
		maxLoads := max(1, int(limits.Share*float64(ofModel[target.Model])))
		usable := target.Replica.VersionOf(target.Model)+1 >= target.Version
		enough := newest[target.Model] >= max(1, ofModel[target.Model]/2)
		if total >= limits.Total || (usable && (enough || loadingOf[target.Model] >= maxLoads)) {
			continue
		}
		next = append(next, target)
		total++
		loadingOf[target.Model]++
		newest[target.Model]++
	}
	return next
}
