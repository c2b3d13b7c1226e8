package sitestate

import (
	"iter"
	"slices"
	"strings"
)

// chunkSize is the maximum number of replicas in a chunk; a change copies one chunk.
const chunkSize = 64

// ReplicaList holds replicas ordered by id. It is immutable: a change yields another list that
// shares the unchanged chunks. The zero ReplicaList is empty.
type ReplicaList struct {
	// chunks are ordered and not empty.
	chunks [][]Replica
	count  int
}

// ListOf returns a list of the replicas.
func ListOf(replicas ...Replica) ReplicaList {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b Replica) int { return strings.Compare(a.ID, b.ID) })
	return ReplicaList{chunks: slices.Collect(slices.Chunk(sorted, chunkSize)), count: len(sorted)}
}

// Len returns the number of replicas.
func (l ReplicaList) Len() int { return l.count }

// All iterates over the replicas ordered by id. They must not be modified.
func (l ReplicaList) All() iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		for _, chunk := range l.chunks {
			for i := range chunk {
				if !yield(&chunk[i]) {
					return
				}
			}
		}
	}
}

// Slice returns a copy of the replicas.
func (l ReplicaList) Slice() []Replica {
	copied := make([]Replica, 0, l.count)
	for _, chunk := range l.chunks {
		copied = append(copied, chunk...)
	}
	return copied
}

// edit starts a change.
func (l ReplicaList) edit() *listEdit {
	edit := &listEdit{count: l.count, chunks: make([]listChunk, 0, len(l.chunks)+1)}
	for _, chunk := range l.chunks {
		edit.chunks = append(edit.chunks, listChunk{replicas: chunk})
	}
	return edit
}

// listEdit is a mutable copy of a list that clones chunks on write.
type listEdit struct {
	chunks []listChunk
	count  int
}

// listChunk is a chunk; owned is set if no list shares it.
type listChunk struct {
	replicas []Replica
	owned    bool
}

// chunk returns the index of the chunk that contains an id or into which it is inserted.
func (e *listEdit) chunk(id string) int {
	number, _ := slices.BinarySearchFunc(e.chunks, id, func(chunk listChunk, target string) int {
		return strings.Compare(chunk.replicas[len(chunk.replicas)-1].ID, target)
	})
	return min(number, len(e.chunks)-1)
}

// writable returns a chunk that may be modified, cloned if it is shared.
func (e *listEdit) writable(number int) *listChunk {
	chunk := &e.chunks[number]
	if !chunk.owned {
		chunk.owned, chunk.replicas = true, slices.Clone(chunk.replicas)
	}
	return chunk
}

func (e *listEdit) put(replica Replica) {
	if len(e.chunks) == 0 {
		e.chunks = append(e.chunks, listChunk{replicas: []Replica{replica}, owned: true})
		e.count++
		return
	}
	number := e.chunk(replica.ID)
	chunk := e.writable(number)
	at, found := search(chunk.replicas, replica.ID)
	if found {
		chunk.replicas[at] = replica
		return
	}
	chunk.replicas = slices.Insert(chunk.replicas, at, replica)
	e.count++
	if len(chunk.replicas) > chunkSize {
		half := len(chunk.replicas) / 2
		second := listChunk{replicas: slices.Clone(chunk.replicas[half:]), owned: true}
		chunk.replicas = chunk.replicas[:half:half]
		e.chunks = slices.Insert(e.chunks, number+1, second)
	}
}

func (e *listEdit) remove(id string) {
	if len(e.chunks) == 0 {
		return
	}
	number := e.chunk(id)
	at, found := search(e.chunks[number].replicas, id)
	if !found {
		return
	}
	chunk := e.writable(number)
	chunk.replicas = slices.Delete(chunk.replicas, at, at+1)
	e.count--
	if len(chunk.replicas) == 0 {
		e.chunks = slices.Delete(e.chunks, number, number+1)
	}
}

func (e *listEdit) finish() ReplicaList {
	list := ReplicaList{count: e.count, chunks: make([][]Replica, 0, len(e.chunks))}
	for _, chunk := range e.chunks {
		list.chunks = append(list.chunks, chunk.replicas)
	}
	return list
}

func search(list []Replica, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(replica Replica, target string) int { return strings.Compare(replica.ID, target) })
}
