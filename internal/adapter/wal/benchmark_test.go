package wal_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const commitBytes = 256

// committer appends the commits of many writers to a log on real files, with one sync per
// commit or per group of pending commits.
type committer struct {
	requests chan chan error
	payload  []byte
	log      *wal.Log
	next     uint64
	maxGroup int
}

// run serves requests until the channel is closed.
func (c *committer) run() error {
	pending := make([]chan error, 0, c.maxGroup)
	entries := make([]consensus.Entry, 0, c.maxGroup)
	for first := range c.requests {
		pending = c.gather(append(pending[:0], first))
		entries = entries[:0]
		for range pending {
			c.next++
			entries = append(entries, consensus.Entry{Index: c.next, Term: 1, Data: c.payload})
		}
		err := c.log.Append(nil, entries)
		if err == nil {
			err = c.log.Sync()
		}
		for _, reply := range pending {
			reply <- err
		}
	}
	return c.log.Close()
}

// gather adds the requests that are already pending, up to maxGroup.
func (c *committer) gather(pending []chan error) []chan error {
	for len(pending) < c.maxGroup {
		select {
		case reply, open := <-c.requests:
			if !open {
				return pending
			}
			pending = append(pending, reply)
		default:
			return pending
		}
	}
	return pending
}

func benchmarkCommits(b *testing.B, writers, maxGroup int) {
	options := wal.Options{FileSystem: wal.OS{}, Directory: b.TempDir(), Identity: identity}
	log, _, err := wal.Create(options, voters)
	if err != nil {
		b.Fatal(err)
	}
	c := &committer{
		requests: make(chan chan error, writers), payload: bytes.Repeat([]byte{'x'}, commitBytes),
		log: log, maxGroup: maxGroup,
	}
	finished := make(chan error, 1)
	go func() { finished <- c.run() }()
	before := log.Syncs()
	b.ReportAllocs()
	b.ResetTimer()
	var group sync.WaitGroup
	for writer := range writers {
		count := b.N / writers
		if writer < b.N%writers {
			count++
		}
		group.Go(func() {
			reply := make(chan error, 1)
			for range count {
				c.requests <- reply
				if err := <-reply; err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(log.Syncs()-before)/float64(b.N), "syncs/commit")
	close(c.requests)
	if err := <-finished; err != nil {
		b.Error(err)
	}
}

func BenchmarkCommits(b *testing.B) {
	for _, writers := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("single-sync/writers=%d", writers), func(b *testing.B) { benchmarkCommits(b, writers, 1) })
		b.Run(fmt.Sprintf("group-commit/writers=%d", writers), func(b *testing.B) { benchmarkCommits(b, writers, writers) })
	}
}
