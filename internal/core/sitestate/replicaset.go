package sitestate

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// setParts is the number of parts of a replica set; a change copies one part, which holds 40 of
// 10,000 replicas.
const setParts = 256

// ReplicaSet holds replicas by id. It is immutable: a change yields another set that shares
// the unchanged parts. The zero ReplicaSet is empty.
type ReplicaSet struct {
	parts *[setParts]map[string]Replica
	count int
}

// SetOf returns a set of the replicas.
func SetOf(replicas ...Replica) ReplicaSet {
	edit := ReplicaSet{}.edit()
	for _, replica := range replicas {
		edit.put(replica)
	}
	return edit.finish()
}

func partIndex(id string) int { return int(xxhash.Sum64String(id) % setParts) }

// Get returns a replica by id.
func (s ReplicaSet) Get(id string) (Replica, bool) {
	if s.parts == nil {
		return Replica{}, false
	}
	replica, found := s.parts[partIndex(id)][id]
	return replica, found
}

// Has reports whether the set contains an id.
func (s ReplicaSet) Has(id string) bool {
	_, found := s.Get(id)
	return found
}

// Len returns the number of replicas.
func (s ReplicaSet) Len() int { return s.count }

// All iterates over all replicas by id, in no particular order.
func (s ReplicaSet) All() iter.Seq2[string, Replica] {
	return func(yield func(string, Replica) bool) {
		if s.parts == nil {
			return
		}
		for _, part := range s.parts {
			for id, replica := range part {
				if !yield(id, replica) {
					return
				}
			}
		}
	}
}

// edit starts a change.
func (s ReplicaSet) edit() *setEdit {
	edit := &setEdit{count: s.count}
	if s.parts != nil {
		edit.parts = *s.parts
	}
	return edit
}

// setEdit is a mutable copy of a set; owned marks the parts that no set shares.
type setEdit struct {
	parts [setParts]map[string]Replica
	owned [setParts]bool
	count int
}

func (e *setEdit) part(id string) map[string]Replica {
	number := partIndex(id)
	if !e.owned[number] {
		e.owned[number] = true
		e.parts[number] = maps.Clone(e.parts[number])
		if e.parts[number] == nil {
			e.parts[number] = map[string]Replica{}
		}
	}
	return e.parts[number]
}

func (e *setEdit) put(replica Replica) {
	part := e.part(replica.ID)
	if _, found := part[replica.ID]; !found {
		e.count++
	}
	part[replica.ID] = replica
}

func (e *setEdit) remove(id string) {
	if _, found := e.parts[partIndex(id)][id]; !found {
		return
	}
	delete(e.part(id), id)
	e.count--
}

func (e *setEdit) finish() ReplicaSet { return ReplicaSet{parts: &e.parts, count: e.count} }
