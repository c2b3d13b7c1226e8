package engine

// block is a KV block that can be shared by its hash.
type block struct {
	hash     uint64
	refs     int
	orphaned bool // no longer in byHash
	previous *block
	next     *block
}

// memory tracks the KV blocks of an engine. Blocks are either private to a sequence
// (only counted) or shared (reference-counted and found by hash). A shared block without
// references stays cached until it is evicted.
type memory struct {
	total  int
	used   int // private and shared blocks, including cached ones
	cached int // shared blocks without references
	byHash map[uint64]*block
	lru    block // list head; lru.next is the least recently used
	free   []*block
	report func(CacheEventKind, uint64)
}

func newMemory(total int, report func(CacheEventKind, uint64)) *memory {
	m := &memory{total: total, byHash: make(map[uint64]*block), report: report}
	m.lru.previous, m.lru.next = &m.lru, &m.lru
	return m
}

// available returns the number of blocks that can be allocated, including by eviction.
func (m *memory) available() int { return m.total - m.used + m.cached }

// allocate allocates count private blocks, which must be available.
func (m *memory) allocate(count int) {
	for m.total-m.used < count {
		m.evict()
	}
	m.used += count
}

// deallocate frees count private blocks.
func (m *memory) deallocate(count int) { m.used -= count }

func (m *memory) evict() {
	victim := m.lru.next
	m.unlink(victim)
	delete(m.byHash, victim.hash)
	m.used--
	m.report(CacheRemoved, victim.hash)
	m.free = append(m.free, victim)
}

func (m *memory) unlink(b *block) {
	b.previous.next, b.next.previous = b.next, b.previous
	b.previous, b.next = nil, nil
	m.cached--
}

func (m *memory) link(b *block) {
	last := m.lru.previous
	b.previous, b.next = last, &m.lru
	last.next, m.lru.previous = b, b
	m.cached++
}

// find adds a reference to the shared block with this hash and returns it, or returns nil if
// there is none.
func (m *memory) find(hash uint64) *block {
	b := m.byHash[hash]
	if b == nil {
		return nil
	}
	if b.refs == 0 {
		m.unlink(b)
	}
	b.refs++
	return b
}

// share turns a private block into the shared block with this hash and returns it with a
// reference. If a shared block with this hash exists, share frees the private block and
// returns the existing one.
func (m *memory) share(hash uint64) *block {
	if existing := m.find(hash); existing != nil {
		m.deallocate(1)
		return existing
	}
	b := m.newBlock()
	*b = block{hash: hash, refs: 1}
	m.byHash[hash] = b
	m.report(CacheStored, hash)
	return b
}

func (m *memory) newBlock() *block {
	if count := len(m.free); count > 0 {
		b := m.free[count-1]
		m.free = m.free[:count-1]
		return b
	}
	return new(block)
}

// unref removes one reference to a shared block.
func (m *memory) unref(b *block) {
	b.refs--
	if b.refs > 0 {
		return
	}
	if b.orphaned {
		m.used--
		m.free = append(m.free, b)
		return
	}
	m.link(b)
}

// clear removes every shared block from the prefix cache. Blocks that sequences reference
// stay allocated; the others are freed.
func (m *memory) clear() {
	for b := m.lru.next; b != &m.lru; b = m.lru.next {
		m.unlink(b)
		m.used--
		m.free = append(m.free, b)
		delete(m.byHash, b.hash)
	}
	for _, b := range m.byHash {
		b.orphaned = true
	}
	clear(m.byHash)
	m.report(CacheCleared, 0)
}

// hashes returns the hashes of all shared blocks, unsorted.
func (m *memory) hashes() []uint64 {
	list := make([]uint64, 0, len(m.byHash))
	for hash := range m.byHash {
		list = append(list, hash)
	}
	return list
}
