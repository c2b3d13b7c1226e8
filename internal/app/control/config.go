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

	// memberBackoffMax bounds the delay between dials to another member.
	memberBackoffMax = 500 * time.Millisecond
)

// Address is a control member's id and peer address.
type Address struct {
	ID uint64
	// Peer is IP:port of the internal protocol.
	Peer string
}

// Config sets a control member up. Zero values take their defaults.
type Config struct {
	// Cluster names the fleet; processes of another one are refused.
	Cluster string
	ID      uint64
	// Members are those that the group was first started with or, with Join,
	// present members.
	Members []Address
	// Join makes a member without a data folder wait to be added as a learner.
	Join       bool
	DataFolder string
	// PeerAddress and OperatorAddress are IP:port to listen on; they are not
	// used where a listener is given.
	PeerAddress      string
	OperatorAddress  string
	PeerListener     net.Listener
	OperatorListener net.Listener
	// PeerToken is shared by the fleet's own processes; empty asks for none.
	PeerToken string
	// OperatorToken is what operators present; empty refuses them.
	OperatorToken string
	// Tick is the time step of elections and heartbeats.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// Clock also counts suspended time; nil is that of the machine.
	Clock boottime.Clock
	// Seed feeds the random election timeouts.
	Seed uint64
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int
	// RetainEntries stay in memory before a snapshot, for members that are a
	// little behind.
	RetainEntries int
	// NodeTimeout is how long a node may be silent before it is taken out of
	// the view.
	NodeTimeout time.Duration
	// MaxBatch bounds the requests and messages that one group commit takes in;
	// 1 makes one sync each, for measurements.
	MaxBatch int
	// Wire bounds the internal protocol; cluster, token and name are set here.
	Wire wire.Options
	// CheckConfiguration, if set, looks at configurations before they are
	// proposed by operators.
	CheckConfiguration func(port.Configuration) error
	// Metrics, if set, is served to operators at /metrics.
	Metrics http.Handler
	// Recorder takes the measures of answered commands; it may be nil.
	Recorder Recorder
	// FileSystem keeps the data folder; nil takes the operating system's.
	FileSystem wal.FileSystem
	// Logger may be nil.
	Logger *log.Logger
}

// Recorder takes the measures of a control member.
type Recorder interface {
	// CommandDone counts an answer to a node or an operator; refusal is nil for
	// an accepted command.
	CommandDone(refusal *port.Error, elapsed time.Duration)
}

// Errors of Start.
var (
	// ErrConfig refuses a Config that cannot work.
	ErrConfig = errors.New("control: invalid configuration")
	// ErrDataLost refuses to start a voter whose data folder is empty although
	// the group has been at work: it may have voted and acknowledged before.
	ErrDataLost = errors.New("control: the data folder is lost; remove this member from the group and add it as a new one under a higher id")
)

func withDefault[T comparable](value *T, standard T) {
	var unset T
	if *value == unset {
		*value = standard
	}
}

func (c Config) normalized() Config {
	withDefault(&c.Tick, DefaultTick)
	withDefault(&c.ElectionTicks, DefaultElectionTicks)
	withDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	withDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	withDefault(&c.RetainEntries, DefaultRetainEntries)
	withDefault(&c.NodeTimeout, DefaultNodeTimeout)
	withDefault(&c.MaxBatch, DefaultMaxBatch)
	c.Clock = c.Clock.OrSystem()
	if c.FileSystem == nil {
		c.FileSystem = wal.OS{}
	}
	if c.Logger == nil {
		c.Logger = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	withDefault(&c.Wire.BackoffMax, memberBackoffMax)
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

// others lists the configured members but this one.
func (c Config) others() []Address {
	others := make([]Address, 0, len(c.Members))
	for _, member := range c.Members {
		if member.ID != c.ID {
			others = append(others, member)
		}
	}
	return others
}

// electionTimeout is about how long a group without a leader stays so.
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
