package consensus

import (
	"cmp"
	"fmt"
)

// Limits and defaults of a Node.
const (
	// MaxEntryBytes is the maximum size of an entry's data.
	MaxEntryBytes = 4 << 20
	// MaxSnapshotBytes is the maximum size of a snapshot that a member accepts.
	MaxSnapshotBytes = 1 << 30

	// defaultMaxBatchBytes and defaultSnapshotChunkBytes keep messages small enough for a link
	// that loses packets to deliver one before the connection counts as idle, after 1.5 s
	// between processes of a site.
	defaultMaxBatchBytes      = 64 << 10
	defaultMaxInflight        = 32
	defaultSnapshotChunkBytes = 64 << 10
	// defaultSnapshotWindow allows maxWindowBytes of unacknowledged chunks.
	defaultSnapshotWindow = 16
	defaultMaxUncommitted = 16384
	minElectionTicks      = 4

	// minWindowBytes and maxWindowBytes limit the unacknowledged bytes to a member. The window
	// begins with the minimum and grows with each acknowledgement, to hide the round-trip time:
	// 256 kB take 18 ms including their acknowledgement, of which the transmission at 600 Mbit/s
	// is 4 ms. An overdue acknowledgement halves it.
	minWindowBytes = 256 << 10
	maxWindowBytes = 1 << 20
)

// Safeguards disables individual protections. The zero value enables all of them; only
// tests disable one, to show what it prevents.
type Safeguards struct {
	// NoPreVote lets a member start an election without a pre-vote.
	NoPreVote bool
	// NoCheckQuorum lets a leader stay leader without contact to a quorum, and lets
	// voters grant a vote while they have an active leader.
	NoCheckQuorum bool
	// NoTermCommitRule lets a leader commit entries of earlier terms by
	// counting replicas (figure 8 of the paper).
	NoTermCommitRule bool
	// NoCatchUpRule lets a leader promote a learner that lacks the log even if the quorum
	// grows.
	NoCatchUpRule bool
}

// Config holds the settings of a Node. Zero sizes select the defaults.
type Config struct {
	ID MemberID
	// ElectionTicks is the minimum election timeout; the randomized timeout lies
	// in (ElectionTicks, 2*ElectionTicks].
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// Seed and ID seed the randomized election timeouts.
	Seed uint64
	// MaxBatchBytes limits the entry data of one append message.
	MaxBatchBytes int
	// MaxInflight limits the unacknowledged append messages per member.
	MaxInflight int
	// SnapshotChunkBytes is the size of a snapshot chunk.
	SnapshotChunkBytes int
	// SnapshotWindow limits the unacknowledged snapshot chunks per member.
	SnapshotWindow int
	// MaxUncommitted limits a leader's uncommitted entries and its pending reads.
	MaxUncommitted int
	// RetainEntries is how many entries before a snapshot stay in memory, so that slow
	// followers can catch up without the snapshot.
	RetainEntries int
	// RetainBytes limits the data of the retained entries; 0 means no limit.
	RetainBytes int
	// NoLeaseReads confirms every read with a heartbeat round, for clocks whose rates
	// cannot be trusted.
	NoLeaseReads bool
	Safeguards   Safeguards
}

func (c Config) withDefaults() Config {
	c.MaxBatchBytes = cmp.Or(c.MaxBatchBytes, defaultMaxBatchBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, defaultMaxInflight)
	c.SnapshotChunkBytes = cmp.Or(c.SnapshotChunkBytes, defaultSnapshotChunkBytes)
	c.SnapshotWindow = cmp.Or(c.SnapshotWindow, defaultSnapshotWindow)
	c.MaxUncommitted = cmp.Or(c.MaxUncommitted, defaultMaxUncommitted)
	return c
}

func (c Config) validate() error {
	if c.ID == None {
		return fmt.Errorf("%w: member id is 0", ErrConfig)
	}
	if c.HeartbeatTicks < 1 || c.ElectionTicks < minElectionTicks || c.ElectionTicks < 2*c.HeartbeatTicks {
		return fmt.Errorf("%w: election %d ticks, heartbeat %d ticks", ErrConfig, c.ElectionTicks, c.HeartbeatTicks)
	}
	if c.MaxBatchBytes < 0 || c.MaxInflight < 0 || c.SnapshotChunkBytes < 0 || c.SnapshotWindow < 0 || c.MaxUncommitted < 0 || c.RetainEntries < 0 || c.RetainBytes < 0 {
		return fmt.Errorf("%w: negative size", ErrConfig)
	}
	return nil
}

// leaseTicks returns how long a leader may serve reads after it sent a message that a
// quorum accepted. Voters reject other candidates for ElectionTicks after they received
// it; one tick covers the phase of their clocks and a quarter covers rate differences.
func (c Config) leaseTicks() uint64 {
	return uint64(c.ElectionTicks - 1 - c.ElectionTicks/4)
}

// ackTimeoutTicks returns how long a leader waits for an acknowledgement before it queries
// what the member has received.
func (c Config) ackTimeoutTicks() uint64 {
	return uint64(2*c.HeartbeatTicks + 1)
}

// randomSource is a splitmix64 generator.
type randomSource struct{ state uint64 }

func (r *randomSource) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (r *randomSource) intn(n int) int {
	return int(r.next() % uint64(n))
}
