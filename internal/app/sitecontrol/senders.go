package sitecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// toldForgotten is how long the leader counts on what a member said of itself and its
	// watchers.
	toldForgotten = 5 * silenceInterval
	// sendersFewer is for how long there must be fewer than the log says before it says so:
	// processes that are cut off go by what they knew.
	sendersFewer = time.Minute
	// sendersMore and sendersLess are by which factor their number has to change to be worth
	// an entry: each is sent to all watchers.
	sendersMore = 1.1
	sendersLess = 0.7
)

// senders counts the processes that send requests to replicas: all of them watch a member.
// It is safe for concurrent use.
type senders struct {
	mutex sync.Mutex
	// told is how many watchers each other member has.
	told map[string]toldWatchers
	// fewerSince is since when there have been fewer than committed.
	fewerSince time.Time
}

type toldWatchers struct {
	count int
	at    time.Time
}

func newSenders() *senders { return &senders{told: map[string]toldWatchers{}} }

// note takes in how many watchers a member has.
func (s *senders) note(member string, count int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.told[member] = toldWatchers{count: count, at: now}
}

// change gives the number to commit, as the leader, if it is to change.
func (s *senders) change(own int, committed uint32, now time.Time) (next uint32, due bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := own
	for member, told := range s.told {
		if now.Sub(told.at) > toldForgotten {
			delete(s.told, member)
			continue
		}
		count += told.count
	}
	held := float64(committed)
	if float64(count) >= sendersLess*held {
		s.fewerSince = now
	}
	more := float64(count) > sendersMore*held
	fewer := now.Sub(s.fewerSince) > sendersFewer && count > 0
	return uint32(count), more || fewer
}

// tendSenders commits how many processes send to replicas, where the configuration has
// services whose cold replicas bear few requests: nothing else asks for it.
func (c *Control) tendSenders(ctx context.Context, now time.Time) {
	if len(c.warmups()) == 0 || c.needs(sitestate.LevelDrains) != nil {
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
