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
	// promptKeptFor is how long a replica is taken to have a group's prompt.
	promptKeptFor = 5 * time.Second
	// takeOverPause is left to the runner that sent items to a replica before: it
	// hears of the change as late as this one does early, and its items end meanwhile.
	takeOverPause = 1500 * time.Millisecond
)

// replicaBook is what the runner of a shard knows of replicas.
type replicaBook struct {
	shard sitestate.ShardNumber
	// cold is what cold replicas bear beyond their service's rate.
	cold     coldlimit.Limits
	replicas map[string]*replicaEntry
	// pace is that of all replicas together.
	pace pace

	// listed are the replicas of the last view and table; open is what was made
	// of them last.
	listed []listedReplica
	view   *siteview.View
	table  *routing.Table
	open   []jobqueue.Replica
	// now is the time of the last call of candidates.
	now time.Time
}

// listedReplica is a replica with what does not change within a view.
type listedReplica struct {
	candidate jobqueue.Replica
	slots     int
	known     *replicaEntry
	// cold is what the replica bears while it is cold.
	cold coldlimit.Limits
}

type replicaEntry struct {
	// foreign is set while another shard's runner sends items here.
	foreign bool
	running int
	// reserved counts places kept for items whose run elsewhere is ending.
	reserved     int
	blockedUntil time.Time
	failures     int
	pace         pace
	// groups are when a group's prompt was last read here.
	groups map[string]time.Time
	// answered is when the newest run that it answered was sent.
	answered time.Time
	// versions are weight versions that answers showed, newer than the view.
	versions map[string]uint64
	// sent counts items against what the replica bears while it is cold.
	sent coldlimit.Window
}

func newReplicaBook(shard sitestate.ShardNumber) *replicaBook {
	return &replicaBook{shard: shard, replicas: map[string]*replicaEntry{}}
}

func (b *replicaBook) entry(id string) *replicaEntry {
	known := b.replicas[id]
	if known == nil {
		known = &replicaEntry{groups: map[string]time.Time{}, versions: map[string]uint64{}}
		b.replicas[id] = known
	}
	return known
}

// enter notes that an item runs at a replica.
func (b *replicaBook) enter(item *work, replica string, now time.Time) {
	known := b.entry(replica)
	known.running++
	known.sent.Record(now)
	known.groups[item.item.Group] = now
	item.replica = replica
}

// leave notes that an item runs nowhere any more.
func (b *replicaBook) leave(item *work) {
	if item.replica == "" {
		return
	}
	known := b.entry(item.replica)
	known.running = max(0, known.running-1)
	item.replica = ""
}

// reserve keeps a place for an item whose run elsewhere is ending.
func (b *replicaBook) reserve(id string) { b.entry(id).reserved++ }

// release gives such a place free.
func (b *replicaBook) release(id string) {
	known := b.entry(id)
	known.reserved = max(0, known.reserved-1)
}

// block leaves a replica out for a while.
func (b *replicaBook) block(id string, until time.Time) {
	known := b.entry(id)
	if until.After(known.blockedUntil) {
		known.blockedUntil = until
	}
}

// measure notes the pause between the events of a run.
func (b *replicaBook) measure(id string, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	known := b.entry(id)
	known.failures = 0
	known.pace.note(pause, now)
	b.pace.note(pause, now)
}

// watched notes the paces of the runs at a replica while they go on.
func (b *replicaBook) watched(id string, paces []time.Duration, now time.Time) {
	slices.Sort(paces)
	b.entry(id).pace.watch(paces[len(paces)/2], now)
}

// expected gives the pace that a run at a replica is expected to have: that of all
// replicas if nothing ran there yet.
func (b *replicaBook) expected(known *replicaEntry, now time.Time) time.Duration {
	if expected := known.pace.expected(now); expected > 0 {
		return expected
	}
	return max(b.pace.usual, time.Nanosecond)
}

// candidates lists the replicas that may run items of this shard. The result is good until the
// next call.
func (b *replicaBook) candidates(view *siteview.View, table *routing.Table, now time.Time) []jobqueue.Replica {
	b.now, b.open = now, b.open[:0]
	if b.view != view || b.table != table {
		b.list(view, table)
	}
	for i := range b.listed {
		listed := &b.listed[i]
		if now.Before(listed.known.blockedUntil) {
			continue
		}
		candidate := listed.candidate
		candidate.Running = listed.known.running + listed.known.reserved
		candidate.Free = listed.slots - candidate.Running
		if listed.cold.Bounded() && view.ColdLeft(candidate.ID, now) > 0 {
			candidate.Free = min(candidate.Free, listed.known.sent.Remaining(listed.cold.RunnerPerSpan(), now))
		}
		candidate.Pace = b.expected(listed.known, now)
		b.open = append(b.open, candidate)
	}
	return b.open
}

// list takes the replicas of a view over.
func (b *replicaBook) list(view *siteview.View, table *routing.Table) {
	b.view, b.table, b.listed = view, table, b.listed[:0]
	for service, replicas := range view.ByService {
		described := table.Service(service)
		if described == nil {
			continue
		}
		for replica := range replicas.All() {
			if b.owns(view, replica) {
				b.listed = append(b.listed, b.describe(service, replica, described))
			}
		}
	}
}

// owns reports whether items of this shard, and no others, go to a replica. One that
// comes from another shard is left alone at first.
func (b *replicaBook) owns(view *siteview.View, replica *sitestate.Replica) bool {
	known := b.entry(replica.ID)
	if owner := view.OwnerOf(replica); owner != b.shard {
		known.foreign = owner != 0
		return false
	}
	if known.foreign {
		known.foreign = false
		b.block(replica.ID, b.now.Add(takeOverPause))
	}
	return true
}

func (b *replicaBook) describe(service string, replica *sitestate.Replica, described *routing.Service) listedReplica {
	known := b.entry(replica.ID)
	cold := b.cold
	cold.Rate = described.WarmupRate
	return listedReplica{slots: slotsOf(replica, described), known: known, cold: cold, candidate: jobqueue.Replica{
		ID: replica.ID, Service: service, Region: b.view.RegionOf(replica.Zone),
		Version:   func(model string) uint64 { return max(replica.VersionOf(model), known.versions[model]) },
		HasPrompt: func(group string) bool { return b.now.Sub(known.groups[group]) < promptKeptFor },
	}}
}

// slotsOf is how many items a replica runs at once: what it reports, else what
// its service states, else one.
func slotsOf(replica *sitestate.Replica, service *routing.Service) int {
	if replica.Slots > 0 {
		return replica.Slots
	}
	if service.Engine != nil && service.Engine.Slots > 0 {
		return service.Engine.Slots
	}
	return 1
}

// forget drops replicas that are gone, and old prompts.
func (b *replicaBook) forget(view *siteview.View, now time.Time) {
	for id, known := range b.replicas {
		if !view.Replicas.Has(id) && known.running == 0 {
			delete(b.replicas, id)
			continue
		}
		for group, at := range known.groups {
			if now.Sub(at) > promptKeptFor {
				delete(known.groups, group)
			}
		}
	}
}
