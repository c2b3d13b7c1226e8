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
	DefaultTick           = 60 * time.Millisecond
	DefaultElectionTicks  = 8
	DefaultHeartbeatTicks = 2
	DefaultReplaceAfter   = 3500 * time.Millisecond
	DefaultVacantAfter    = 1500 * time.Millisecond
	DefaultForgetAfter    = 20 * time.Second
	// DefaultStandingInterval is the time between two questions of a member that
	// hears no leader.
	DefaultStandingInterval = time.Second

	// retainEntries and retainBytes are what stays of the log before a snapshot: a
	// follower that is a second or two behind needs no snapshot, and the bytes are a
	// small part of a store machine's memory (294 to 334 MB).
	retainEntries = 512
	retainBytes   = 2 << 20
	maxBatch      = 512
)

// Shard tells groups of one name apart whose members find each other at the same
// addresses. A member is of one of them at a time. Ids of members must differ between
// shards.
type Shard uint32

// AnyShard stands for the one that a member is of, whichever that is.
const AnyShard Shard = 1<<32 - 1

// Origin says how a member with an empty folder comes into the group.
type Origin struct {
	// Shard is the group among those of its name; 0 if there is only one.
	Shard Shard
	// Founders are the first members. If the member is one of them it starts
	// the group with the others, else it joins.
	Founders []groupmember.Record
	// Contacts are addresses of members to join at.
	Contacts []string
}

// Config sets a Member up. Zero fields after Origin take defaults.
type Config struct {
	// Name is the group's name. It is part of the names of its methods.
	Name string
	// Folder holds the member's log.
	Folder     string
	FileSystem wal.FileSystem
	// Self is this machine's record without an id.
	Self groupmember.Record
	// Wire is for connections to other members.
	Wire wire.Options
	// Machine makes an empty state machine.
	Machine func() groupmember.StateMachine
	// Origin is asked while the folder is empty, again and again, with the
	// incarnation that was drawn for the folder.
	Origin func(ctx context.Context, incarnation string) (Origin, error)
	// Changed is called in the loop's goroutine after every step. It must not
	// wait.
	Changed func(step Step)
	// Leaving names the machines that are to be emptied. It is called in the
	// loop's goroutine. Nil is none.
	Leaving func() map[string]bool
	// Limits say how many members are wanted; machines beyond them wait to join
	// until one is needed. Its ticks are taken from the durations below.
	Limits groupmember.Limits
	Logger *log.Logger
	// Clock also counts suspended time; nil is that of the machine.
	Clock boottime.Clock
	// Seed feeds the random election timeouts.
	Seed uint64
	Tick time.Duration
	// ElectionTicks and HeartbeatTicks are those of consensus.Config.
	ElectionTicks  int
	HeartbeatTicks int
	ReplaceAfter   time.Duration
	VacantAfter    time.Duration
	ForgetAfter    time.Duration
	// StandingInterval is the time between two questions of a member that hears no
	// leader, whether it was removed.
	StandingInterval time.Duration
	SnapshotBytes    int
}

func (c Config) withDefaults() Config {
	c.Tick = cmp.Or(c.Tick, DefaultTick)
	c.ElectionTicks = cmp.Or(c.ElectionTicks, DefaultElectionTicks)
	c.HeartbeatTicks = cmp.Or(c.HeartbeatTicks, DefaultHeartbeatTicks)
	c.ReplaceAfter = cmp.Or(c.ReplaceAfter, DefaultReplaceAfter)
	c.VacantAfter = cmp.Or(c.VacantAfter, DefaultVacantAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.StandingInterval = cmp.Or(c.StandingInterval, DefaultStandingInterval)
	c.Limits.ReplaceTicks = cmp.Or(c.Limits.ReplaceTicks, uint64(c.ReplaceAfter/c.Tick))
	c.Limits.FreeSlotTicks = cmp.Or(c.Limits.FreeSlotTicks, uint64(c.VacantAfter/c.Tick))
	c.Limits.RemoveLearnerTicks = cmp.Or(c.Limits.RemoveLearnerTicks, uint64(c.ForgetAfter/c.Tick))
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

// electionTimeout is the shortest time after which another leader may stand.
func (c Config) electionTimeout() time.Duration {
	return time.Duration(c.ElectionTicks) * c.Tick
}

// Step is what the loop shows after each step of work.
type Step struct {
	Machine groupmember.StateMachine
	Status  consensus.Status
	// Settled is set on a leader in touch with a quorum whose state shows all
	// that was committed under earlier leaders.
	LeaderReady bool
	// CaughtUp is set if all that was committed when the member last heard
	// from the leader is applied.
	CaughtUp bool
	Applied  uint64
	Records  []groupmember.Record
}
