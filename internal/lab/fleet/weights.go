package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// publishedVersion is the version of the scenario's publication.
const publishedVersion = port.WeightVersion(2)

// weights follows a publication to all replicas.
type weights struct {
	fleet     *Fleet
	published time.Duration
	pools     [trainers]poolWeights
}

// poolWeights is what became of the publication in one pool.
type poolWeights struct {
	accepted time.Duration
	// activated is when the first order to switch left, first and last when the
	// first and the last replica switched.
	activated time.Duration
	first     time.Duration
	last      time.Duration
	switched  int
}

// publishAll lets every trainer publish, through any member.
func (w *weights) publishAll() {
	w.published = w.fleet.Now()
	for number := range trainers {
		w.publish(number, 0, w.fleet.changeID())
	}
}

func (w *weights) publish(number, attempt int, id string) {
	f := w.fleet
	to := f.members[(number+attempt)%len(f.members)]
	command := port.Command{ChangeID: id, PublishWeights: &port.PublishWeights{
		Pool: poolName(number), Version: publishedVersion, Bytes: uint64(f.options.WeightBytes), ConsumerEpoch: f.trainers[number].epoch,
	}}
	f.charge(&to.endpoint, workProposals, func() {
		to.propose(command, false, func(result port.Result, done bool) {
			if !done || result.Error != nil {
				f.After(changeRetry, func() { w.publish(number, attempt+1, id) })
				return
			}
			w.pools[number].accepted = f.Now()
		})
	})
}

// ordered notes an order of a rollout.
func (w *weights) ordered(pool int, order port.Order) {
	if order.Kind == port.OrderActivate && w.pools[pool].activated == 0 {
		w.pools[pool].activated = w.fleet.Now()
	}
}

// switched notes that a replica serves a version.
func (w *weights) switched(engine *engine, version port.WeightVersion) {
	if version != publishedVersion {
		return
	}
	entry := &w.pools[w.fleet.poolNumber[engine.replica.Pool]]
	if entry.first == 0 {
		entry.first = w.fleet.Now()
	}
	entry.last = w.fleet.Now()
	entry.switched++
}

// WeightsTime tells of a publication to all pools, from the publication on.
type WeightsTime struct {
	// Switched counts the replicas that serve the new version.
	Switched int `json:"switched"`
	// Staged is the longest time until a pool's replicas had staged.
	Staged time.Duration `json:"staged_ns"`
	// Switch is, in the slowest pool, the time from the first order to switch
	// until the last replica served the version; Spread from the first replica.
	Switch time.Duration `json:"switch_ns"`
	Spread time.Duration `json:"spread_ns"`
	// AllPools is the time from the first switch of any pool to the last one.
	AllPools time.Duration `json:"all_pools_ns"`
	// Loading is the most replicas that loaded at a time.
	Loading int `json:"most_loading"`
}

// times sums the publication up; a pool that is not done leaves zeros.
func (w *weights) times() *WeightsTime {
	sum := &WeightsTime{Loading: w.fleet.store.most}
	first, last := time.Duration(0), time.Duration(0)
	for _, entry := range w.pools {
		sum.Switched += entry.switched
		if entry.switched == 0 {
			continue
		}
		sum.Staged = max(sum.Staged, entry.activated-w.published)
		sum.Switch = max(sum.Switch, entry.last-entry.activated)
		sum.Spread = max(sum.Spread, entry.last-entry.first)
		if first == 0 || entry.first < first {
			first = entry.first
		}
		last = max(last, entry.last)
	}
	sum.AllPools = last - first
	return sum
}
