package control

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Defaults of Config.
const (
	DefaultTick            = 50 * time.Millisecond
	DefaultElectionTicks   = 10
	DefaultHeartbeatTicks  = 2
	DefaultSnapshotEntries = 10_000
	DefaultRetainEntries   = 1_000
	DefaultNodeTimeout     = 15 * time.Second
	DefaultMaxBatch        = 1024

	// memberBackoffMax limits the backoff between dials to another member.
	memberBackoffMax = 500 * time.Millisecond
)

// Address is a control member's id and peer address.
type Address struct {
	ID uint64
	// Peer is IP:port of the internal protocol.
	Peer string
}

// Config configures a control member. Zero values select the defaults.
type Config struct {
	// Cluster is the name of the cluster; processes of other clusters are rejected.
	Cluster string
	ID      uint64
	// Members lists the initial members of the group or, with Join, its current
	// members.
	Members []Address
	// Join makes a member without a data folder wait until it is added as a learner.
	Join       bool
	DataFolder string
	// PeerAddress and OperatorAddress are the IP:port to listen on. They are ignored
	// if a listener is set.
	PeerAddress      string
	OperatorAddress  string
	PeerListener     net.Listener
	OperatorListener net.Listener
	// PeerToken is shared by the processes of the cluster; if empty, none is required.
	PeerToken string
	// OperatorToken authenticates operators; if empty, all are rejected.
	OperatorToken string
	// Tick is the time unit of elections and heartbeats.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// Clock includes suspended time; nil selects the system clock.
	Clock boottime.Clock
	// Seed seeds the random election timeouts.
	Seed uint64
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int
	// RetainEntries is the number of entries before a snapshot that stay in memory, for
	// members that lag slightly.
	RetainEntries int
	// NodeTimeout is how long a node may go without a report before it is removed
	// from the view.
	NodeTimeout time.Duration
	// MaxBatch limits the requests and messages per group commit; 1 syncs for each,
	// for benchmarks.
	MaxBatch int
	// Wire configures the internal protocol; cluster, token and name are overwritten.
	Wire wire.Options
	// CheckConfiguration, if set, validates configurations before operators propose
	// them.
	CheckConfiguration func(port.Configuration) error
	// Metrics, if set, is served to operators at /metrics.
	Metrics http.Handler
	// Recorder records metrics of completed commands; it may be nil.
	Recorder Recorder
	// FileSystem stores the data folder; nil selects the operating system's.
	FileSystem wal.FileSystem
	// Logger may be nil.
	Logger *log.Logger
}

// Recorder records metrics of a control member.
type Recorder interface {
	// CommandDone counts a reply to a node or an operator; refusal is nil for an
	// accepted command.
	CommandDone(refusal *port.Error, elapsed time.Duration)
}

// Errors of Start.
var (
	// ErrConfig reports an invalid Config.
	ErrConfig = errors.New("control: invalid configuration")
	// ErrDataLost reports a voter whose data folder is empty although the group is
	// running: it may have voted and acknowledged entries before.
	ErrDataLost = errors.New("control: the data folder is lost; remove this member from the group and add it as a new one under a higher id")
)

func setDefault[T comparable](value *T, fallback T) {
	var unset T
	if *value == unset {
		*value = fallback
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.Tick, DefaultTick)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.RetainEntries, DefaultRetainEntries)
	setDefault(&c.NodeTimeout, DefaultNodeTimeout)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	c.Clock = c.Clock.OrSystem()
	if c.FileSystem == nil {
		c.FileSystem = wal.OS{}
	}
	if c.Logger == nil {
		c.Logger = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	setDefault(&c.Wire.BackoffMax, memberBackoffMax)
	c.Wire.ClusterID = c.Cluster
	c.Wire.Token = c.PeerToken
	c.Wire.Name = memberName(c.ID)
	return c
}

func (c Config) check() error {
	switch {
	case c.ID == 0 || c.Cluster == "" || c.DataFolder == "":
		return ErrConfig
	case len(c.Members) == 0:
		return ErrConfig
	case !c.Join && c.addressOf(c.ID) == "":
		return ErrConfig
	}
	return nil
}

func (c Config) addressOf(id uint64) string {
	for _, member := range c.Members {
		if member.ID == id {
			return member.Peer
		}
	}
	return ""
}

// others returns the configured members except this one.
func (c Config) others() []Address {
	others := make([]Address, 0, len(c.Members))
	for _, member := range c.Members {
		if member.ID != c.ID {
			others = append(others, member)
		}
	}
	return others
}

// electionTimeout is the approximate time that a group stays without a leader.
func (c Config) electionTimeout() time.Duration {
	return time.Duration(c.ElectionTicks) * c.Tick
}

func (c Config) consensus() consensus.Config {
	return consensus.Config{
		ID:             consensus.MemberID(c.ID),
		ElectionTicks:  c.ElectionTicks,
		HeartbeatTicks: c.HeartbeatTicks,
		Seed:           c.Seed,
		RetainEntries:  c.RetainEntries,
	}
}
