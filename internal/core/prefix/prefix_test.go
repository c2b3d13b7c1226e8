package prefix

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var start = time.UnixMilli(1_700_000_000_000)

const replica = port.ReplicaID("lm-1")

func stored(sequence, block uint64) port.CacheEvent {
	return port.CacheEvent{Sequence: sequence, Block: block}
}

func evicted(sequence, block uint64) port.CacheEvent {
	return port.CacheEvent{Sequence: sequence, Block: block, Evicted: true}
}

func TestApply(t *testing.T) {
	type batch struct {
		events []port.CacheEvent
		gap    bool
	}
	tests := map[string]struct {
		batches   []batch
		wantMatch int // of blocks 1, 2, 3
		wantLast  uint64
		wantGap   bool // of the last batch
	}{
		"in order":              {[]batch{{[]port.CacheEvent{stored(1, 1), stored(2, 2)}, false}}, 2, 2, false},
		"out of order":          {[]batch{{[]port.CacheEvent{stored(3, 3), stored(1, 1), stored(2, 2)}, false}}, 3, 3, false},
		"eviction":              {[]batch{{[]port.CacheEvent{stored(1, 1), stored(2, 2), evicted(3, 1)}, false}}, 0, 3, false},
		"eviction out of order": {[]batch{{[]port.CacheEvent{evicted(2, 1), stored(1, 1)}, false}}, 0, 2, false},
		"repeated event":        {[]batch{{[]port.CacheEvent{stored(1, 1), evicted(2, 1)}, false}, {[]port.CacheEvent{stored(1, 1)}, false}}, 0, 2, false},
		"missing sequence number": {[]batch{
			{[]port.CacheEvent{stored(1, 1), stored(2, 2)}, false}, {[]port.CacheEvent{stored(4, 3)}, false}}, 0, 4, true},
		"reported gap": {[]batch{
			{[]port.CacheEvent{stored(1, 1)}, false}, {[]port.CacheEvent{stored(9, 2), stored(10, 1)}, true}}, 2, 10, true},
		"reported gap without events": {[]batch{
			{[]port.CacheEvent{stored(1, 1)}, false}, {nil, true}}, 0, 1, true},
		"engine restarted": {[]batch{
			{[]port.CacheEvent{stored(1, 1), stored(2, 2), stored(3, 3)}, false}, {[]port.CacheEvent{stored(1, 1)}, true}}, 1, 1, true},
		"first events after a late start": {[]batch{{[]port.CacheEvent{stored(70, 1), stored(71, 2)}, false}}, 2, 71, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			index := New(Config{})
			gap := false
			for _, batch := range test.batches {
				gap = index.Apply(replica, batch.events, batch.gap)
			}
			match := index.Match([]uint64{1, 2, 3}, replica)
			if match != test.wantMatch || index.LastSequence(replica) != test.wantLast || gap != test.wantGap {
				t.Errorf("match %d, last sequence %d, gap %v; want %d, %d, %v",
					match, index.LastSequence(replica), gap, test.wantMatch, test.wantLast, test.wantGap)
			}
		})
	}
}

func TestSentBlocksExpireUnlessConfirmed(t *testing.T) {
	index := New(Config{OptimisticTTL: time.Second})
	index.AddOptimistic(start, replica, []uint64{1, 2})
	index.Apply(replica, []port.CacheEvent{stored(1, 1)}, false)
	index.AddOptimistic(start, replica, []uint64{1})
	index.Expire(start.Add(999 * time.Millisecond))
	if got := index.Match([]uint64{1, 2}, replica); got != 2 {
		t.Errorf("match %d before the expiry, want 2", got)
	}
	index.Expire(start.Add(time.Second))
	if got := index.Match([]uint64{1, 2}, replica); got != 1 {
		t.Errorf("match %d after the expiry, want only the confirmed block", got)
	}
}

// After any events, the index is within its limit and doesn't match an evicted block.
func TestIndexIsBoundedAndMatchesNoEvictedBlock(t *testing.T) {
	const maxBlocks = 5
	testkit.Check(t, 31, func(t *rapid.T) {
		index := New(Config{BlocksPerReplica: maxBlocks})
		last := make(map[uint64]bool)
		for sequence := uint64(1); sequence <= 60; sequence++ {
			block := rapid.Uint64Range(1, 12).Draw(t, "block")
			evict := rapid.Bool().Draw(t, "evicted")
			index.Apply(replica, []port.CacheEvent{{Sequence: sequence, Block: block, Evicted: evict}}, false)
			last[block] = !evict
			if index.Blocks(replica) > maxBlocks {
				t.Fatalf("%d blocks, limit %d", index.Blocks(replica), maxBlocks)
			}
			for block, cached := range last {
				if !cached && index.Match([]uint64{block}, replica) != 0 {
					t.Fatalf("block %d matches after its eviction", block)
				}
			}
		}
	})
}

func TestResetAndRetain(t *testing.T) {
	index := New(Config{})
	index.Apply("a", []port.CacheEvent{stored(1, 1)}, false)
	index.Apply("b", []port.CacheEvent{stored(1, 1)}, false)
	index.Reset("a")
	if index.Blocks("a") != 0 || index.LastSequence("a") != 0 || index.Blocks("b") != 1 {
		t.Error("reset did not drop exactly one replica")
	}
	index.Retain(func(port.ReplicaID) bool { return false })
	if index.Blocks("b") != 0 {
		t.Error("a removed replica still has blocks")
	}
}

func TestHashBlocks(t *testing.T) {
	text := strings.Repeat("a", 64) + strings.Repeat("b", 64)
	hashes := HashBlocks(text+"tail", 64)
	other := HashBlocks(strings.Repeat("a", 64)+strings.Repeat("c", 64), 64)
	swapped := HashBlocks(strings.Repeat("b", 64)+strings.Repeat("a", 64), 64)
	if len(hashes) != 2 || hashes[0] != other[0] || hashes[1] == other[1] {
		t.Errorf("hashes %x and %x don't share exactly the first block", hashes, other)
	}
	if hashes[1] == swapped[0] || hashes[0] == swapped[1] {
		t.Error("a block's hash does not depend on the previous blocks")
	}
	if HashBlocks(text, 0) != nil || len(HashBlocks("short", 64)) != 0 {
		t.Error("a prompt without complete blocks has hashes")
	}
}

func BenchmarkMatch(b *testing.B) {
	index := New(Config{})
	hashes := HashBlocks(strings.Repeat("prompt ", 400), 64)
	index.AddOptimistic(start, replica, hashes)
	b.ReportAllocs()
	for b.Loop() {
		index.Match(hashes, replica)
	}
}
