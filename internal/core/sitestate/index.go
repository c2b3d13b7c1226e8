package sitestate

import (
	"cmp"
	"slices"
	"sort"
)

// change records that a replica changed at a log position.
type change struct {
	at uint64
	id string
}

// index is derived from contents and avoids scans over all replicas.
type index struct {
	// byAddress maps addresses to replica ids.
	byAddress map[string]string
	// changes are ordered by position. Only the last change of a replica is current.
	changes []change
	// tombstones holds the ids in contents.Tombstones, permanent those that may not return.
	tombstones map[string]bool
	permanent  map[string]bool
	// starts maps the names of replicas to their newest start.
	starts map[string]start
}

// start is one start of a replica that keeps its name.
type start struct {
	id        string
	startedAt uint64
}

func newIndex(state *contents) index {
	i := index{
		byAddress:  make(map[string]string, len(state.Replicas)),
		tombstones: make(map[string]bool, len(state.Tombstones)),
		permanent:  make(map[string]bool, len(state.Tombstones)),
		starts:     make(map[string]start, len(state.Replicas)),
	}
	for _, removed := range state.Tombstones {
		i.addTombstone(removed)
	}
	for id, replica := range state.Replicas {
		i.byAddress[replica.Address] = id
		i.recordStart(replica.InstanceName(), start{id: id, startedAt: replica.StartedAt})
	}
	i.rebuildChanges(state.Replicas)
	return i
}

// recordStart records a start unless a newer one is known under the name.
func (i *index) recordStart(name string, added start) {
	if newest, known := i.starts[name]; !known || added.startedAt >= newest.startedAt {
		i.starts[name] = added
	}
}

// rebuildChanges reduces changes to the last one of each replica.
func (i *index) rebuildChanges(replicas map[string]Replica) {
	i.changes = make([]change, 0, len(replicas))
	for id, replica := range replicas {
		i.changes = append(i.changes, change{at: replica.ChangedAt, id: id})
	}
	slices.SortFunc(i.changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
}

// minCompactLength avoids frequent rebuilds of short lists of changes.
const minCompactLength = 64

// recordChange adds a replica's change.
func (i *index) recordChange(changed Replica, replicas map[string]Replica) {
	i.byAddress[changed.Address] = changed.ID
	i.recordStart(changed.InstanceName(), start{id: changed.ID, startedAt: changed.StartedAt})
	i.changes = append(i.changes, change{at: changed.ChangedAt, id: changed.ID})
	if len(i.changes) > minCompactLength+2*len(replicas) {
		i.rebuildChanges(replicas)
	}
}

func (i *index) dropAddress(replica Replica) {
	if i.byAddress[replica.Address] == replica.ID {
		delete(i.byAddress, replica.Address)
	}
}

func (i *index) addTombstone(removed tombstone) {
	i.recordStart(cmp.Or(removed.Instance, removed.ID), start{id: removed.ID, startedAt: removed.StartedAt})
	i.tombstones[removed.ID] = true
	if removed.Permanent {
		i.permanent[removed.ID] = true
	}
}

func (i *index) removeTombstone(removed tombstone) {
	if name := cmp.Or(removed.Instance, removed.ID); i.starts[name].id == removed.ID {
		delete(i.starts, name)
	}
	delete(i.tombstones, removed.ID)
	delete(i.permanent, removed.ID)
}

// changesAfter returns the changes after a position.
func (i *index) changesAfter(position uint64) []change {
	first := sort.Search(len(i.changes), func(n int) bool { return i.changes[n].at > position })
	return i.changes[first:]
}
