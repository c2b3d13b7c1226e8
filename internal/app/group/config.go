package group

import (
	"cmp"
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// Defaults of Config.
const (
	DefaultTick               = 60 * time.Millisecond
	DefaultElectionTicks      = 8
	DefaultHeartbeatTicks     = 2
	DefaultReplaceAfter       = 3500 * time.Millisecond
	DefaultFreeSlotAfter      = 1500 * time.Millisecond
	DefaultRemoveLearnerAfter = 20 * time.Second
	// DefaultRemovalCheckInterval is the default of Config.RemovalCheckInterval.
	DefaultRemovalCheckInterval = time.Second

	// retainEntries and retainBytes limit the log entries that are retained before a
	// snapshot, so that a follower that lags by a second or two needs no snapshot.
	// retainBytes is a small part of a store machine's memory.
	retainEntries = 512
	retainBytes   = 2 << 20
	// maxBatch limits the events that share one sync.
	maxBatch = 512
)

// Shard distinguishes groups of one name whose members use the same addresses. A member
// belongs to one shard at a time. Member ids must differ between shards.
type Shard uint32

// AnyShard matches the shard of any member.
const AnyShard Shard = 1<<32 - 1

// Origin describes how a member with an empty folder bootstraps or joins the group.
type Origin struct {
	// Shard identifies the group among those of its name; 0 if there is only one.
	Shard Shard
	// Founders are the initial members, which bootstrap the group; any other member
	// joins.
	Founders []groupmember.Record
	// Contacts are addresses of members that may accept a join request.
	Contacts []string
}

// Config configures a Member. Zero fields after Origin have defaults.
type Config struct {
	// Name is the group's name, a part of its method names.
	Name string
	// Folder stores the member's log.
	Folder     string
	FileSystem wal.FileSystem
	// Self is this machine's record without an id.
	Self groupmember.Record
	// Wire is for connections to other members.
	Wire wire.Options
	// Machine returns an empty state machine.
	Machine func() groupmember.StateMachine
	// Origin is called repeatedly while the folder is empty, with the incarnation chosen
	// for the folder.
	Origin func(ctx context.Context, incarnation string) (Origin, error)
	// OnStep is called in the loop's goroutine after every step. It must not block.
	OnStep func(step Step)
	// Leaving returns the machines to drain. It is called in the loop's goroutine; nil
	// means none.
	Leaving func() map[string]bool
	// Limits are the numbers of members to maintain; further machines wait to join until
	// one is needed. The tick counts are derived from the durations below.
	Limits groupmember.Limits
	Logger *log.Logger
	// Clock also counts suspended time; nil means the machine's clock.
	Clock boottime.Clock
	// Seed seeds the random election timeouts.
	Seed uint64
	Tick time.Duration
	// ElectionTicks and HeartbeatTicks are as in consensus.Config.
	ElectionTicks      int
	HeartbeatTicks     int
	ReplaceAfter       time.Duration
	FreeSlotAfter      time.Duration
	RemoveLearnerAfter time.Duration
	// RemovalCheckInterval is the interval at which a member without a leader checks
	// whether it was removed.
	RemovalCheckInterval time.Duration
	SnapshotBytes        int
}

func (c Config) withDefaults() Config {
	c.Tick = cmp.Or(c.Tick, DefaultTick)
	c.ElectionTicks = cmp.Or(c.ElectionTicks, DefaultElectionTicks)
	c.HeartbeatTicks = cmp.Or(c.HeartbeatTicks, DefaultHeartbeatTicks)
	c.ReplaceAfter = cmp.Or(c.ReplaceAfter, DefaultReplaceAfter)
	c.FreeSlotAfter = cmp.Or(c.FreeSlotAfter, DefaultFreeSlotAfter)
	c.RemoveLearnerAfter = cmp.Or(c.RemoveLearnerAfter, DefaultRemoveLearnerAfter)
	c.RemovalCheckInterval = cmp.Or(c.RemovalCheckInterval, DefaultRemovalCheckInterval)
	c.Limits.ReplaceTicks = cmp.Or(c.Limits.ReplaceTicks, uint64(c.ReplaceAfter/c.Tick))
	c.Limits.FreeSlotTicks = cmp.Or(c.Limits.FreeSlotTicks, uint64(c.FreeSlotAfter/c.Tick))
	c.Limits.RemoveLearnerTicks = cmp.Or(c.Limits.RemoveLearnerTicks, uint64(c.RemoveLearnerAfter/c.Tick))
	c.Clock = c.Clock.OrSystem()
	if c.FileSystem == nil {
		c.FileSystem = wal.OS{}
	}
	return c
}

func (c Config) consensus(id consensus.MemberID) consensus.Config {
	return consensus.Config{
		ID: id, ElectionTicks: c.ElectionTicks, HeartbeatTicks: c.HeartbeatTicks,
		Seed: c.Seed, RetainEntries: retainEntries, RetainBytes: retainBytes,
	}
}

// electionTimeout is the minimum time after which another member may become a candidate.
func (c Config) electionTimeout() time.Duration {
	return time.Duration(c.ElectionTicks) * c.Tick
}

// Step is the state after each step of the loop.
type Step struct {
	Machine groupmember.StateMachine
	Status  consensus.Status
	// LeaderReady is set on a leader that is in contact with a quorum and has applied every
	// command committed in earlier terms.
	LeaderReady bool
	// CaughtUp is set if the member has applied every command that was committed when the
	// leader sent its latest message.
	CaughtUp bool
	Applied  uint64
	Records  []groupmember.Record
	// Obstacle is what the next membership change waits for, on a leader.
	Obstacle groupmember.Obstacle
}
