package prefix

import (
	"container/list"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// block is a cached block of a replica.
type block struct {
	hash uint64
	// expires is the expiry of an optimistic block, and optimisticElement its element
	// in the optimistic list. Both are unset for confirmed blocks.
	expires           time.Time
	optimisticElement *list.Element
}

// replicaBlocks is the index of one replica.
type replicaBlocks struct {
	// sequence is the sequence number of the last applied event.
	sequence uint64
	gaps     uint64
	byHash   map[uint64]*list.Element
	// lru orders the blocks by last use, the most recent first.
	lru *list.List
	// optimistic orders the unconfirmed blocks by expiry, so that expire visits only
	// expired ones.
	optimistic *list.List
}

func newReplicaBlocks() *replicaBlocks {
	return &replicaBlocks{byHash: make(map[uint64]*list.Element), lru: list.New(), optimistic: list.New()}
}

// reset clears the index after a gap, but not the sequence number.
func (r *replicaBlocks) reset() {
	r.gaps++
	clear(r.byHash)
	r.lru.Init()
	r.optimistic.Init()
}

// apply applies one event.
func (r *replicaBlocks) apply(event port.CacheEvent, maxBlocks int) {
	if event.Evicted {
		r.remove(event.Block)
		return
	}
	r.confirm(r.getOrInsert(event.Block, maxBlocks))
}

// confirm marks a block as confirmed by an event.
func (r *replicaBlocks) confirm(entry *block) {
	if entry.optimisticElement != nil {
		r.optimistic.Remove(entry.optimisticElement)
		entry.optimisticElement = nil
	}
	entry.expires = time.Time{}
}

// insertOptimistic adds an unconfirmed block; a confirmed one stays confirmed.
func (r *replicaBlocks) insertOptimistic(hash uint64, expires time.Time, maxBlocks int) {
	_, existed := r.byHash[hash]
	entry := r.getOrInsert(hash, maxBlocks)
	if existed && entry.expires.IsZero() {
		return
	}
	r.confirm(entry)
	entry.expires = expires
	entry.optimisticElement = r.optimistic.PushBack(entry)
}

// getOrInsert returns the block, inserting it if necessary, and marks it as most recently
// used.
func (r *replicaBlocks) getOrInsert(hash uint64, maxBlocks int) *block {
	if element, found := r.byHash[hash]; found {
		r.lru.MoveToFront(element)
		return element.Value.(*block)
	}
	if len(r.byHash) >= maxBlocks {
		r.remove(r.lru.Back().Value.(*block).hash)
	}
	entry := &block{hash: hash}
	r.byHash[hash] = r.lru.PushFront(entry)
	return entry
}

// remove removes a block if present.
func (r *replicaBlocks) remove(hash uint64) {
	if element, found := r.byHash[hash]; found {
		entry := element.Value.(*block)
		r.confirm(entry)
		r.lru.Remove(element)
		delete(r.byHash, hash)
	}
}

// expire removes the expired optimistic blocks.
func (r *replicaBlocks) expire(now time.Time) {
	for element := r.optimistic.Front(); element != nil; element = r.optimistic.Front() {
		entry := element.Value.(*block)
		if now.Before(entry.expires) {
			return
		}
		r.remove(entry.hash)
	}
}
