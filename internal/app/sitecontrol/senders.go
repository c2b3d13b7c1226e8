package sitecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// memberReportTTL is how long the leader uses a member's report.
	memberReportTTL = 5 * timeoutCheckInterval
	// sendersDecreaseDelay is how long the count must be lower before a decrease is
	// committed: disconnected processes still use the committed count.
	sendersDecreaseDelay = time.Minute
	// sendersIncreaseFactor and sendersDecreaseFactor are the relative changes of the
	// count that are committed; each one is sent to all watchers.
	sendersIncreaseFactor = 1.1
	sendersDecreaseFactor = 0.7
)

// senders counts the processes that send requests to replicas, each of which watches one
// member. It is safe for concurrent use.
type senders struct {
	mutex sync.Mutex
	// reported is the number of watchers of each other member.
	reported map[string]reportedWatchers
	// fewerSince is since when the count has been lower than the committed one.
	fewerSince time.Time
}

type reportedWatchers struct {
	count int
	at    time.Time
}

func newSenders() *senders { return &senders{reported: map[string]reportedWatchers{}} }

// record stores the number of watchers of a member.
func (s *senders) record(member string, count int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reported[member] = reportedWatchers{count: count, at: now}
}

// change returns the count to commit, as the leader, if a change is due.
func (s *senders) change(own int, committed uint32, now time.Time) (next uint32, due bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := own
	for member, reported := range s.reported {
		if now.Sub(reported.at) > memberReportTTL {
			delete(s.reported, member)
			continue
		}
		count += reported.count
	}
	current := float64(committed)
	if float64(count) >= sendersDecreaseFactor*current {
		s.fewerSince = now
	}
	more := float64(count) > sendersIncreaseFactor*current
	fewer := now.Sub(s.fewerSince) > sendersDecreaseDelay && count > 0
	return uint32(count), more || fewer
}

// commitSenders commits a changed number of senders if the configuration has services that
// limit requests to cold replicas; only these use it.
func (c *Control) commitSenders(ctx context.Context, now time.Time) {
	if len(c.warmups()) == 0 || c.requireLevel(sitestate.LevelDrains) != nil {
		return
	}
	next, due := c.senders.change(c.watchers(), c.view.Load().Senders, now)
	if !due {
		return
	}
	if _, err := c.propose(ctx, sitestate.Command{Senders: &next}); err != nil {
		c.config.Logger.Warn().Uint32("senders", next).Err(err).Msg("the number of senders was not committed")
	}
}

// watchers counts the processes that watch this member.
func (c *Control) watchers() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.wakes)
}
