package sitecontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// levels agrees on the level of the control group. It is safe for concurrent use.
type levels struct {
	mutex sync.Mutex
	// told are the levels that other members know, as they said to this one as the leader.
	told map[consensus.MemberID]toldLevel
	// agreed is the level in this member's state.
	agreed atomic.Uint32
}

type toldLevel struct {
	level sitestate.Level
	at    time.Time
}

func newLevels() *levels { return &levels{told: map[consensus.MemberID]toldLevel{}} }

// note takes in what a member knows.
func (l *levels) note(member consensus.MemberID, level sitestate.Level, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.told[member] = toldLevel{level: level, at: now}
}

// common gives the level that all members of the group know. One that said nothing of late may
// have been replaced by an earlier build.
func (l *levels) common(shown *group.PublishedState, now time.Time) sitestate.Level {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	common := sitestate.LevelNewest
	for _, record := range shown.Records {
		if record.ID == shown.Status.ID {
			continue
		}
		told := l.told[record.ID]
		if now.Sub(told.at) > toldForgotten {
			return sitestate.LevelFirst
		}
		common = min(common, told.level)
	}
	return common
}

// tendLevel raises the agreed level, as the leader, once all members know a higher one.
func (c *Control) tendLevel(ctx context.Context, now time.Time) {
	shown := c.member.PublishedState()
	if shown == nil || sitestate.Level(c.levels.agreed.Load()) >= sitestate.LevelNewest {
		return
	}
	level := c.levels.common(shown, now)
	if level <= sitestate.Level(c.levels.agreed.Load()) {
		return
	}
	_, err := c.propose(ctx, sitestate.Command{Level: &level})
	c.config.Logger.Info().Str(eventlog.Field, eventlog.LevelRaised).Uint32("level", uint32(level)).Int("members", len(shown.Records)).
		Err(err).Msg("all control members know a higher level")
}

// needs refuses, as the leader, what not all members know yet.
func (c *Control) needs(level sitestate.Level) error {
	if agreed := sitestate.Level(c.levels.agreed.Load()); agreed < level {
		return port.NewError(port.NotRun, port.CodeUnavailable, "the control group is at level %d, and this needs %d: a member of an earlier build is among them, or has not said what it knows yet", agreed, level)
	}
	return nil
}
