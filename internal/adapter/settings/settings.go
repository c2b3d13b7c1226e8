package settings

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// File is a complete settings file: the settings of every role, and one section for
// the role that the process runs.
type File struct {
	// Cluster names the fleet; processes of other clusters are rejected.
	Cluster string `yaml:"cluster"`
	// PeerTokenFile holds the secret that the fleet's processes share; empty disables
	// the check.
	PeerTokenFile string `yaml:"peer_token_file,omitempty"`
	// OperatorTokenFile holds the token that authenticates operators.
	OperatorTokenFile string   `yaml:"operator_token_file,omitempty"`
	Log               Log      `yaml:"log,omitempty"`
	Control           *Control `yaml:"control,omitempty"`
	Node              *Node    `yaml:"node,omitempty"`
}

// Log configures the in-memory ring of log lines.
type Log struct {
	// RingLines is the capacity of the ring.
	RingLines int `yaml:"ring_lines,omitempty"`
	// File receives the ring after a failure; empty means standard error.
	File string `yaml:"file,omitempty"`
}

// Control configures a control member.
type Control struct {
	ID         uint64 `yaml:"id"`
	DataFolder string `yaml:"data_folder"`
	// PeerListen serves members and nodes; OperatorListen serves operators over HTTP.
	PeerListen     string `yaml:"peer_listen"`
	OperatorListen string `yaml:"operator_listen"`
	// Members lists the initial members of the cluster. A member that joins later
	// lists the current members and sets Join.
	Members []Member `yaml:"members"`
	Join    bool     `yaml:"join,omitempty"`
	// Tick is the time unit of elections and heartbeats.
	Tick Duration `yaml:"tick,omitempty"`
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int `yaml:"snapshot_entries,omitempty"`
}

// Member is a control member's id and peer address.
type Member struct {
	ID      uint64 `yaml:"id"`
	Address string `yaml:"address"`
}

// Node configures a node.
type Node struct {
	ID     port.NodeID     `yaml:"id"`
	Zone   port.ZoneName   `yaml:"zone"`
	Region port.RegionName `yaml:"region,omitempty"`
	// HTTPListen serves callers, trainers and explain; PeerListen serves other nodes.
	HTTPListen string `yaml:"http_listen"`
	PeerListen string `yaml:"peer_listen"`
	// ControlMembers lists peer addresses, nearest first.
	ControlMembers []string `yaml:"control_members"`
	// DataFolder stores decision records across restarts; empty stores them in memory
	// only.
	DataFolder string `yaml:"data_folder,omitempty"`
	// ConfigurationLease is how long a node without contact to control uses its
	// configuration.
	ConfigurationLease Duration `yaml:"configuration_lease,omitempty"`
}

// Defaults of optional settings.
const (
	defaultRingLines          = 4096
	defaultTick               = 50 * time.Millisecond
	defaultSnapshotEntries    = 10_000
	defaultConfigurationLease = 5 * time.Second
)

// UnmarshalYAML decodes a control section over its defaults, so that an explicit 0
// is validated and not replaced.
func (c *Control) UnmarshalYAML(decode func(any) error) error {
	type plain Control
	section := plain{Tick: NewDuration(defaultTick), SnapshotEntries: defaultSnapshotEntries}
	err := decode(&section)
	*c = Control(section)
	return err
}

// UnmarshalYAML decodes a node section over its defaults.
func (n *Node) UnmarshalYAML(decode func(any) error) error {
	type plain Node
	section := plain{ConfigurationLease: NewDuration(defaultConfigurationLease)}
	err := decode(&section)
	*n = Node(section)
	return err
}
