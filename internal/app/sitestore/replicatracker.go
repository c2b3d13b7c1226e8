package sitestore

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// promptTTL is how long a replica is assumed to cache a group's prompt.
	promptTTL = 5 * time.Second
	// handoverPause is the wait before items are sent to a replica that moved from another
	// shard, whose runner may not have seen the move yet.
	handoverPause = 1500 * time.Millisecond
)

// replicaTracker tracks the state of replicas for the runner of a shard.
type replicaTracker struct {
	shard sitestate.ShardNumber
	// cold is the tolerance of the limits of cold replicas; each service sets its own rate.
	cold     coldlimit.Limits
	replicas map[string]*replicaEntry
	// pace is the pace of all replicas.
	pace pace

	// listed are the replicas of the last view and table; result is the buffer that
	// candidates returns.
	listed []listedReplica
	view   *siteview.View
	table  *routing.Table
	result []jobqueue.Replica
	// now is the time of the last call of candidates.
	now time.Time
}

// listedReplica is a replica with its properties that are constant within a view.
type listedReplica struct {
	candidate jobqueue.Replica
	slots     int
	entry     *replicaEntry
	// cold limits the items while the replica is cold.
	cold coldlimit.Limits
}

type replicaEntry struct {
	// otherShard is set while another shard's runner sends items to the replica.
	otherShard bool
	running    int
	// reserved counts slots reserved for items whose run elsewhere is ending.
	reserved     int
	blockedUntil time.Time
	failures     int
	pace         pace
	// groups records when a group's prompt was last sent to the replica.
	groups map[string]time.Time
	// respondedAt is the start of the newest run that the replica responded to.
	respondedAt time.Time
	// versions are weight versions reported in responses, newer than the view.
	versions map[string]uint64
	// sent counts items against the limit of a cold replica.
	sent coldlimit.Window
}

func newReplicaTracker(shard sitestate.ShardNumber) *replicaTracker {
	return &replicaTracker{shard: shard, replicas: map[string]*replicaEntry{}}
}

func (t *replicaTracker) entry(id string) *replicaEntry {
	entry := t.replicas[id]
	if entry == nil {
		entry = &replicaEntry{groups: map[string]time.Time{}, versions: map[string]uint64{}}
		t.replicas[id] = entry
	}
	return entry
}

// addRun records that an item runs on a replica.
func (t *replicaTracker) addRun(item *itemState, replica string, now time.Time) {
	entry := t.entry(replica)
	entry.running++
	entry.sent.Record(now)
	entry.groups[item.spec.Group] = now
	item.replica = replica
}

// removeRun records that an item no longer runs on a replica.
func (t *replicaTracker) removeRun(item *itemState) {
	if item.replica == "" {
		return
	}
	entry := t.entry(item.replica)
	entry.running = max(0, entry.running-1)
	item.replica = ""
}

// reserve reserves a slot for an item whose run elsewhere is ending.
func (t *replicaTracker) reserve(id string) { t.entry(id).reserved++ }

// release releases a reserved slot.
func (t *replicaTracker) release(id string) {
	entry := t.entry(id)
	entry.reserved = max(0, entry.reserved-1)
}

// block excludes a replica from the candidates at least until a time.
func (t *replicaTracker) block(id string, until time.Time) {
	entry := t.entry(id)
	if until.After(entry.blockedUntil) {
		entry.blockedUntil = until
	}
}

// recordRun records the mean pause between the events of a finished run.
func (t *replicaTracker) recordRun(id string, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	entry := t.entry(id)
	entry.failures = 0
	entry.pace.record(pause, now)
	t.pace.record(pause, now)
}

// recordRunning records the paces of the current runs on a replica.
func (t *replicaTracker) recordRunning(id string, paces []time.Duration, now time.Time) {
	slices.Sort(paces)
	t.entry(id).pace.recordRunning(paces[len(paces)/2], now)
}

// expectedPace returns the expected pace of a run on a replica, or the baseline of all replicas
// if the replica has no runs yet.
func (t *replicaTracker) expectedPace(entry *replicaEntry, now time.Time) time.Duration {
	if expected := entry.pace.expected(now); expected > 0 {
		return expected
	}
	return max(t.pace.baseline, time.Nanosecond)
}

// candidates returns the replicas that may run items of this shard. The result is valid until
// the next call.
func (t *replicaTracker) candidates(view *siteview.View, table *routing.Table, now time.Time) []jobqueue.Replica {
	t.now, t.result = now, t.result[:0]
	if t.view != view || t.table != table {
		t.refresh(view, table)
	}
	for i := range t.listed {
		listed := &t.listed[i]
		if now.Before(listed.entry.blockedUntil) {
			continue
		}
		candidate := listed.candidate
		candidate.Running = listed.entry.running + listed.entry.reserved
		candidate.Free = listed.slots - candidate.Running
		if listed.cold.Limited() && view.ColdRemaining(candidate.ID, now) > 0 {
			candidate.Free = min(candidate.Free, listed.entry.sent.Remaining(listed.cold.RunnerPerSpan(), now))
		}
		candidate.Pace = t.expectedPace(listed.entry, now)
		t.result = append(t.result, candidate)
	}
	return t.result
}

// strands reports whether all replicas that serve the item's model, in its regions, have left the
// version that must continue its text. Blocked replicas count, since they serve again soon; false if
// no replica serves the model, as any later one may have the version.
func (t *replicaTracker) strands(item *jobqueue.Item) bool {
	serving := false
	for i := range t.listed {
		candidate := &t.listed[i].candidate
		if candidate.Service != item.Service || !item.AllowedRegions.Allows(candidate.Region) {
			continue
		}
		switch version := candidate.Version(item.Model); {
		case version == 0: // it does not serve the model
		case version <= item.ExactVersion:
			return false
		default:
			serving = true
		}
	}
	return serving
}

// refresh rebuilds the list of replicas from a view.
func (t *replicaTracker) refresh(view *siteview.View, table *routing.Table) {
	t.view, t.table, t.listed = view, table, t.listed[:0]
	for service, replicas := range view.ByService {
		config := table.Service(service)
		if config == nil {
			continue
		}
		for replica := range replicas.All() {
			if t.owns(view, replica) {
				t.listed = append(t.listed, t.describe(service, replica, config))
			}
		}
	}
}

// owns reports whether the replica belongs to this shard. A replica that moved from another
// shard is blocked first.
func (t *replicaTracker) owns(view *siteview.View, replica *sitestate.Replica) bool {
	entry := t.entry(replica.ID)
	if owner := view.OwnerOf(replica); owner != t.shard {
		entry.otherShard = owner != 0
		return false
	}
	if entry.otherShard {
		entry.otherShard = false
		t.block(replica.ID, t.now.Add(handoverPause))
	}
	return true
}

func (t *replicaTracker) describe(service string, replica *sitestate.Replica, config *routing.Service) listedReplica {
	entry := t.entry(replica.ID)
	cold := t.cold
	cold.Rate = config.WarmupRate
	return listedReplica{slots: slotsOf(replica, config), entry: entry, cold: cold, candidate: jobqueue.Replica{
		ID: replica.ID, Service: service, Region: t.view.RegionOf(replica.Zone),
		Version:   func(model string) uint64 { return max(replica.VersionOf(model), entry.versions[model]) },
		HasPrompt: func(group string) bool { return t.now.Sub(entry.groups[group]) < promptTTL },
	}}
}

// slotsOf returns how many items a replica runs concurrently: the number that it reports, else
// that of its service, else one.
func slotsOf(replica *sitestate.Replica, service *routing.Service) int {
	if replica.Slots > 0 {
		return replica.Slots
	}
	if service.Engine != nil && service.Engine.Slots > 0 {
		return service.Engine.Slots
	}
	return 1
}

// expire removes deregistered replicas and expired prompts.
func (t *replicaTracker) expire(view *siteview.View, now time.Time) {
	for id, entry := range t.replicas {
		if !view.Replicas.Has(id) && entry.running == 0 {
			delete(t.replicas, id)
			continue
		}
		for group, at := range entry.groups {
			if now.Sub(at) > promptTTL {
				delete(entry.groups, group)
			}
		}
	}
}
