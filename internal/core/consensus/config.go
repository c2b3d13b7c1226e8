package consensus

import (
	"cmp"
	"fmt"
)

// Limits and defaults of a Node.
const (
	// MaxEntryBytes is the largest data of one entry.
	MaxEntryBytes = 4 << 20
	// MaxSnapshotBytes is the largest snapshot that a member accepts.
	MaxSnapshotBytes = 1 << 30

	defaultMaxBatchBytes      = 1 << 20
	defaultMaxInflight        = 32
	defaultSnapshotChunkBytes = 256 << 10
	// defaultSnapshotWindow lets 1 MB be on its way: a chunk alone takes 18 ms with its
	// acknowledgement, of which 4 ms are the link's (600 Mbit/s).
	defaultSnapshotWindow = 4
	defaultMaxUncommitted = 16384
	minElectionTicks      = 4
)

// Safeguards switches protections off. The zero value has all of them on; only
// tests that show what a protection is for switch one off.
type Safeguards struct {
	// NoPreVote lets a member raise its term without asking first.
	NoPreVote bool
	// NoCheckQuorum lets a leader go on without contact to a quorum, and lets
	// voters grant a vote while they hear from a leader.
	NoCheckQuorum bool
	// NoTermCommitRule lets a leader commit entries of earlier terms by
	// counting replicas (figure 8 of the paper).
	NoTermCommitRule bool
}

// Config sets a Node up. Zero sizes take defaults.
type Config struct {
	ID MemberID
	// ElectionTicks is the shortest election timeout; the random timeout lies
	// in (ElectionTicks, 2*ElectionTicks].
	ElectionTicks int
	// HeartbeatTicks is the time between a leader's heartbeats.
	HeartbeatTicks int
	// Seed feeds the random election timeouts, together with ID.
	Seed uint64
	// MaxBatchBytes bounds the entry data of one append message.
	MaxBatchBytes int
	// MaxInflight bounds the unacknowledged append messages per member.
	MaxInflight int
	// SnapshotChunkBytes is the size of a snapshot's parts on the network.
	SnapshotChunkBytes int
	// SnapshotWindow bounds the unacknowledged parts per member.
	SnapshotWindow int
	// MaxUncommitted bounds the entries that wait for commit on a leader.
	MaxUncommitted int
	// RetainEntries is how many entries before a snapshot stay in memory, for
	// followers that are a little behind.
	RetainEntries int
	// RetainBytes bounds the data of these entries; 0 does not.
	RetainBytes int
	// NoLeaseReads confirms every read with a heartbeat round. It is for
	// clocks whose rates cannot be trusted.
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

// leaseTicks is how long a leader may serve reads after a quorum accepted a
// message that it sent. Voters refuse other candidates for ElectionTicks after
// they received it; one tick is left for the phase of their clocks and a
// quarter for differing rates.
func (c Config) leaseTicks() uint64 {
	return uint64(c.ElectionTicks - 1 - c.ElectionTicks/4)
}

// retransmitTicks is how long a leader waits for an acknowledgement.
func (c Config) retransmitTicks() uint64 {
	return uint64(2*c.HeartbeatTicks + 1)
}

// randomSource is the splitmix64 generator.
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
