package prefix

import (
	"container/list"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// block is one cached block of a replica.
type block struct {
	hash uint64
	// expires is set while no event has confirmed the block, waiting is then its
	// place among the unconfirmed.
	expires time.Time
	waiting *list.Element
}

// replicaBlocks is the index of one replica.
type replicaBlocks struct {
	// sequence is the last event applied.
	sequence uint64
	gaps     uint64
	byHash   map[uint64]*list.Element
	// recent orders the blocks by last use, the latest in front.
	recent *list.List
	// unconfirmed orders the blocks without an event by expiry, the first in
	// front, so that looking for expired ones costs nothing while there are none.
	unconfirmed *list.List
}

func newReplicaBlocks() *replicaBlocks {
	return &replicaBlocks{byHash: make(map[uint64]*list.Element), recent: list.New(), unconfirmed: list.New()}
}

// forget empties the index after a gap; the position stays.
func (r *replicaBlocks) forget() {
	r.gaps++
	clear(r.byHash)
	r.recent.Init()
	r.unconfirmed.Init()
}

// apply enters one event.
func (r *replicaBlocks) apply(event port.CacheEvent, bound int) {
	if event.Evicted {
		r.remove(event.Block)
		return
	}
	r.confirm(r.touch(event.Block, bound))
}

// confirm notes that the engine said it has a block.
func (r *replicaBlocks) confirm(entry *block) {
	if entry.waiting != nil {
		r.unconfirmed.Remove(entry.waiting)
		entry.waiting = nil
	}
	entry.expires = time.Time{}
}

// insertOptimistic enters a block without an event; a confirmed one stays
// confirmed.
func (r *replicaBlocks) insertOptimistic(hash uint64, expires time.Time, bound int) {
	_, known := r.byHash[hash]
	entry := r.touch(hash, bound)
	if known && entry.expires.IsZero() {
		return
	}
	r.confirm(entry)
	entry.expires = expires
	entry.waiting = r.unconfirmed.PushBack(entry)
}

// touch gives the block, made if need be, and counts it as the latest used.
func (r *replicaBlocks) touch(hash uint64, bound int) *block {
	if element, found := r.byHash[hash]; found {
		r.recent.MoveToFront(element)
		return element.Value.(*block)
	}
	if len(r.byHash) >= bound {
		r.remove(r.recent.Back().Value.(*block).hash)
	}
	entry := &block{hash: hash}
	r.byHash[hash] = r.recent.PushFront(entry)
	return entry
}

// remove drops a block if it is there.
func (r *replicaBlocks) remove(hash uint64) {
	if element, found := r.byHash[hash]; found {
		entry := element.Value.(*block)
		r.confirm(entry)
		r.recent.Remove(element)
		delete(r.byHash, hash)
	}
}

// expire drops unconfirmed blocks whose time has come.
func (r *replicaBlocks) expire(now time.Time) {
	for element := r.unconfirmed.Front(); element != nil; element = r.unconfirmed.Front() {
		entry := element.Value.(*block)
		if now.Before(entry.expires) {
			return
		}
		r.remove(entry.hash)
	}
}
