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

// levels negotiates the highest level that all members of the control group support. It is
// safe for concurrent use.
type levels struct {
	mutex sync.Mutex
	// reported are the levels that other members reported to this one as the leader.
	reported map[consensus.MemberID]reportedLevel
	// agreed is the level in this member's applied state.
	agreed atomic.Uint32
}

type reportedLevel struct {
	level sitestate.Level
	at    time.Time
}

func newLevels() *levels { return &levels{reported: map[consensus.MemberID]reportedLevel{}} }

// record stores the level that a member reported.
func (l *levels) record(member consensus.MemberID, level sitestate.Level, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reported[member] = reportedLevel{level: level, at: now}
}

// common returns the highest level that all members support. A member without a recent
// report may run an earlier build.
func (l *levels) common(published *group.PublishedState, now time.Time) sitestate.Level {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	common := sitestate.LevelNewest
	for _, record := range published.Records {
		if record.ID == published.Status.ID {
			continue
		}
		reported := l.reported[record.ID]
		if now.Sub(reported.at) > memberReportTTL {
			return sitestate.LevelFirst
		}
		common = min(common, reported.level)
	}
	return common
}

// raiseLevel raises the agreed level, as the leader, once all members support a higher one.
func (c *Control) raiseLevel(ctx context.Context, now time.Time) {
	published := c.member.PublishedState()
	if published == nil || sitestate.Level(c.levels.agreed.Load()) >= sitestate.LevelNewest {
		return
	}
	level := c.levels.common(published, now)
	if level <= sitestate.Level(c.levels.agreed.Load()) {
		return
	}
	_, err := c.propose(ctx, sitestate.Command{Level: &level})
	c.config.Logger.Info().Str(eventlog.Field, eventlog.LevelRaised).Uint32("level", uint32(level)).Int("members", len(published.Records)).
		Err(err).Msg("level raised: all control members support it")
}

// requireLevel returns an error while the group's agreed level is below level.
func (c *Control) requireLevel(level sitestate.Level) error {
	if agreed := sitestate.Level(c.levels.agreed.Load()); agreed < level {
		return port.NewError(port.NotRun, port.CodeUnavailable, "the control group is at level %d, this request requires level %d: a member runs an earlier build or has not reported its level yet", agreed, level)
	}
	return nil
}
