package node

import (
	"net"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Config says who a node is and what it may use.
type Config struct {
	ID     port.NodeID
	Zone   port.ZoneName
	Region port.RegionName
	// ClusterID must be equal on all processes of one installation.
	ClusterID string
	// PeerToken is shared by the processes of one installation; empty means
	// none is asked for.
	PeerToken string
	// OperatorToken allows operators' requests, such as a rewind; empty refuses
	// them.
	OperatorToken string
	// HTTPAddress and PeerAddress are IP:port to listen on; they are not used
	// where a listener is given.
	HTTPAddress  string
	PeerAddress  string
	HTTPListener net.Listener
	PeerListener net.Listener
	// Control is the way to the replicated control state. The node doesn't
	// close it.
	Control port.Control
	// DataFolder keeps the spool of decisions; empty keeps them in memory only.
	DataFolder string
	// Seed makes the node's random choices repeatable; 0 takes one from the
	// clock.
	Seed uint64
	// Intervals are the node's periods and timeouts; a zero one takes its
	// default.
	Intervals Intervals
	// Limits bound the node's memory; a zero one takes its default.
	Limits Limits
	// HTTPLimits bound what callers can use; a zero one takes its default.
	HTTPLimits httpapi.Limits
	// Logger may be nil.
	Logger *log.Logger
}

// Intervals are the periods and timeouts of a node.
type Intervals struct {
	// Tick paces the control goroutine's periodic work.
	Tick time.Duration
	// ConfigurationLease is how long a confirmed update of the view holds.
	ConfigurationLease time.Duration
	// Report paces reports to control.
	Report time.Duration
	// MachineList paces polls of the machine list.
	MachineList time.Duration
	// Load is the least time between two polls of a home replica's load and cache
	// events.
	Load time.Duration
	// Summary paces summaries to the nodes of the zone.
	Summary time.Duration
	// Aggregate paces aggregates to other zones.
	Aggregate time.Duration
	// PeerSilence is how long a node of the zone may be silent before it is no
	// longer taken as a home.
	PeerSilence time.Duration
	// CoordinatorLease is the length of a coordinator's lease.
	CoordinatorLease time.Duration
	// KeyMemory is how long the outcome of a request key is remembered.
	KeyMemory time.Duration
	// CallTimeout bounds one call between nodes that isn't a caller's request.
	CallTimeout time.Duration
}

// Limits bound what a node keeps.
type Limits struct {
	// Events bounds the events that wait for the control goroutine.
	Events int
	// Decisions bounds the decision records kept in memory.
	Decisions int
	// Keys bounds the remembered request keys.
	Keys int
	// SpoolBytes bounds the spool of decisions on disk, in bytes.
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

// maxMachineList bounds the poll of the machine list, so that a leaving back
// end gets no new work after three seconds.
const maxMachineList = 2 * time.Second

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// normalized gives the configuration with its defaults filled in.
func (c Config) normalized() (Config, error) {
	if c.ID == "" {
		return c, port.InvalidField("id", "", "a node id")
	}
	if c.Zone == "" {
		return c, port.InvalidField("zone", "", "a zone name")
	}
	if c.Control == nil {
		return c, port.InvalidField("control", "", "a way to the control state")
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
