package node

import (
	"net"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Config is the configuration of a node.
type Config struct {
	ID     port.NodeID
	Zone   port.ZoneName
	Region port.RegionName
	// ClusterID must be equal on all processes of one cluster.
	ClusterID string
	// PeerToken is shared by the processes of one cluster. If it is empty, no
	// token is required.
	PeerToken string
	// OperatorToken authorizes operators' requests, such as a rewind. If it is empty,
	// they are rejected.
	OperatorToken string
	// HTTPAddress and PeerAddress are the IP:port to listen on. They are ignored if the
	// listener is set.
	HTTPAddress  string
	PeerAddress  string
	HTTPListener net.Listener
	PeerListener net.Listener
	// Control gives access to the replicated control state. The node does not close it.
	Control port.Control
	// DataFolder stores the decision spool. If it is empty, decisions are only in memory.
	DataFolder string
	// Seed makes the node's random choices repeatable; 0 uses the clock.
	Seed uint64
	// Intervals are the node's periods and timeouts; zero values take the defaults.
	Intervals Intervals
	// Limits limit the node's memory; zero values take the defaults.
	Limits Limits
	// HTTPLimits limit what callers can use; zero values take the defaults.
	HTTPLimits httpapi.Limits
	// Logger may be nil.
	Logger *log.Logger
}

// Intervals are the periods and timeouts of a node.
type Intervals struct {
	// Tick is the period of the control goroutine's work.
	Tick time.Duration
	// ConfigurationLease is how long the configuration stays confirmed after an update.
	ConfigurationLease time.Duration
	// Report is the period of reports to control.
	Report time.Duration
	// MachineList is the period of polls of the machine list.
	MachineList time.Duration
	// Load is the min interval between polls of a home replica's load and cache events.
	Load time.Duration
	// Summary is the period of summaries sent to the nodes of the zone.
	Summary time.Duration
	// Aggregate is the period of aggregates sent to other zones.
	Aggregate time.Duration
	// PeerSilence is how long a node of the zone may be unresponsive and still be used
	// as a home.
	PeerSilence time.Duration
	// CoordinatorLease is the duration of a coordinator's lease.
	CoordinatorLease time.Duration
	// KeyMemory is how long the outcome of a request key is stored.
	KeyMemory time.Duration
	// CallTimeout limits a call between nodes that is not a caller's request.
	CallTimeout time.Duration
}

// Limits limit a node's memory and disk use.
type Limits struct {
	// Events limits the queued events of the control goroutine.
	Events int
	// Decisions limits the decision records in memory.
	Decisions int
	// Keys limits the stored request keys.
	Keys int
	// SpoolBytes limits the spool of decisions on disk, in bytes.
	SpoolBytes int64
}

// Defaults of Intervals and Limits.
const (
	DefaultTick               = 50 * time.Millisecond
	DefaultConfigurationLease = 5 * time.Second
	DefaultReport             = time.Second
	DefaultMachineList        = time.Second
	DefaultLoad               = 200 * time.Millisecond
	DefaultSummary            = 200 * time.Millisecond
	DefaultAggregate          = time.Second
	DefaultPeerSilence        = 2 * time.Second
	DefaultCoordinatorLease   = 6 * time.Second
	DefaultKeyMemory          = 10 * time.Minute
	DefaultCallTimeout        = 2 * time.Second

	DefaultEvents     = 4096
	DefaultDecisions  = 50_000
	DefaultKeys       = 20_000
	DefaultSpoolBytes = 64 << 20
)

// maxMachineList limits the interval of machine list polls, so that a back end gets no
// new requests three seconds after it is listed as leaving.
const maxMachineList = 2 * time.Second

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// normalized validates the configuration and returns it with the defaults filled in.
func (c Config) normalized() (Config, error) {
	if c.ID == "" {
		return c, port.InvalidField("id", "", "a node id")
	}
	if c.Zone == "" {
		return c, port.InvalidField("zone", "", "a zone name")
	}
	if c.Control == nil {
		return c, port.InvalidField("control", "", "a client of the control state")
	}
	orDefault(&c.Region, "default")
	orDefault(&c.ClusterID, "loomgrade")
	c.Intervals.fill()
	c.Limits.fill()
	if c.Intervals.MachineList > maxMachineList {
		return c, port.InvalidField("machine_list_interval", c.Intervals.MachineList.String(), "at most "+maxMachineList.String())
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	if c.Logger == nil {
		c.Logger = &log.Logger{Level: log.ErrorLevel}
	}
	return c, nil
}

func (i *Intervals) fill() {
	orDefault(&i.Tick, DefaultTick)
	orDefault(&i.ConfigurationLease, DefaultConfigurationLease)
	orDefault(&i.Report, DefaultReport)
	orDefault(&i.MachineList, DefaultMachineList)
	orDefault(&i.Load, DefaultLoad)
	orDefault(&i.Summary, DefaultSummary)
	orDefault(&i.Aggregate, DefaultAggregate)
	orDefault(&i.PeerSilence, DefaultPeerSilence)
	orDefault(&i.CoordinatorLease, DefaultCoordinatorLease)
	orDefault(&i.KeyMemory, DefaultKeyMemory)
	orDefault(&i.CallTimeout, DefaultCallTimeout)
}

func (l *Limits) fill() {
	orDefault(&l.Events, DefaultEvents)
	orDefault(&l.Decisions, DefaultDecisions)
	orDefault(&l.Keys, DefaultKeys)
	orDefault(&l.SpoolBytes, DefaultSpoolBytes)
}
