package sitestate

import (
	"cmp"
	"slices"
	"sort"
)

// change says that a replica changed at a log position.
type change struct {
	at uint64
	id string
}

// index is derived from contents, so that nothing has to be looked for among all
// replicas.
type index struct {
	// byAddress gives the replica at an address.
	byAddress map[string]string
	// changes are in the order of positions. One that is not the last of its
	// replica is out of date.
	changes []change
	// gone holds the ids in contents.Gone, binding those that never come back.
	gone    map[string]bool
	binding map[string]bool
	// starts gives the newest start under each name that replicas call themselves.
	starts map[string]start
}

// start is a start of a replica that keeps its name.
type start struct {
	id   string
	born uint64
}

func newIndex(held *contents) index {
	i := index{
		byAddress: make(map[string]string, len(held.Replicas)),
		gone:      make(map[string]bool, len(held.Gone)),
		binding:   make(map[string]bool, len(held.Gone)),
		starts:    make(map[string]start, len(held.Replicas)),
	}
	for _, left := range held.Gone {
		i.noteGone(left)
	}
	for id, replica := range held.Replicas {
		i.byAddress[replica.Address] = id
		i.noteStart(replica.InstanceName(), start{id: id, born: replica.Born})
	}
	i.order(held.Replicas)
	return i
}

// noteStart takes a start in, if none under the name is known that is newer.
func (i *index) noteStart(name string, noted start) {
	if held, known := i.starts[name]; !known || noted.born >= held.born {
		i.starts[name] = noted
	}
}

// order lists each replica's last change.
func (i *index) order(replicas map[string]Replica) {
	i.changes = make([]change, 0, len(replicas))
	for id, replica := range replicas {
		i.changes = append(i.changes, change{at: replica.ChangedAt, id: id})
	}
	slices.SortFunc(i.changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
}

// leastChanges keeps few replicas from being put in order all the time.
const leastChanges = 64

// note takes a replica's change in.
func (i *index) note(changed Replica, replicas map[string]Replica) {
	i.byAddress[changed.Address] = changed.ID
	i.noteStart(changed.InstanceName(), start{id: changed.ID, born: changed.Born})
	i.changes = append(i.changes, change{at: changed.ChangedAt, id: changed.ID})
	if len(i.changes) > leastChanges+2*len(replicas) {
		i.order(replicas)
	}
}

func (i *index) dropAddress(held Replica) {
	if i.byAddress[held.Address] == held.ID {
		delete(i.byAddress, held.Address)
	}
}

func (i *index) noteGone(left gone) {
	i.noteStart(cmp.Or(left.Instance, left.ID), start{id: left.ID, born: left.Born})
	i.gone[left.ID] = true
	if left.Binding {
		i.binding[left.ID] = true
	}
}

func (i *index) forgetGone(left gone) {
	if name := cmp.Or(left.Instance, left.ID); i.starts[name].id == left.ID {
		delete(i.starts, name)
	}
	delete(i.gone, left.ID)
	delete(i.binding, left.ID)
}

// after gives the changes after a position.
func (i *index) after(position uint64) []change {
	first := sort.Search(len(i.changes), func(n int) bool { return i.changes[n].at > position })
	return i.changes[first:]
}
