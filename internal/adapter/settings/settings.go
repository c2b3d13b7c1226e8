package settings

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// File is a whole settings file: what every role needs, and one section for
// the role that the process runs.
type File struct {
	// Cluster names the fleet; processes of another cluster are refused.
	Cluster string `yaml:"cluster"`
	// PeerTokenFile holds the secret that the fleet's own processes share;
	// empty switches the check off.
	PeerTokenFile string `yaml:"peer_token_file,omitempty"`
	// OperatorTokenFile holds the token that operators present.
	OperatorTokenFile string   `yaml:"operator_token_file,omitempty"`
	Log               Log      `yaml:"log,omitempty"`
	Control           *Control `yaml:"control,omitempty"`
	Node              *Node    `yaml:"node,omitempty"`
}

// Log bounds the ring of log lines kept in memory.
type Log struct {
	// RingLines is the number of lines kept.
	RingLines int `yaml:"ring_lines,omitempty"`
	// File receives the ring when something goes wrong; empty means standard
	// error.
	File string `yaml:"file,omitempty"`
}

// Control configures a control member.
type Control struct {
	ID         uint64 `yaml:"id"`
	DataFolder string `yaml:"data_folder"`
	// PeerListen serves members and nodes, OperatorListen operators over HTTP.
	PeerListen     string `yaml:"peer_listen"`
	OperatorListen string `yaml:"operator_listen"`
	// Members lists the members that the cluster was first started with. A
	// member that joins later names the present members and sets Join.
	Members []Member `yaml:"members"`
	Join    bool     `yaml:"join,omitempty"`
	// Tick is the time step of elections and heartbeats.
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
	// HTTPListen serves callers, trainers and explain; PeerListen other nodes.
	HTTPListen string `yaml:"http_listen"`
	PeerListen string `yaml:"peer_listen"`
	// ControlMembers are peer addresses, nearest first.
	ControlMembers []string `yaml:"control_members"`
	// DataFolder keeps decision records over a restart; empty keeps them in
	// memory alone.
	DataFolder string `yaml:"data_folder,omitempty"`
	// ConfigurationLease is how long a node out of touch with control trusts
	// its configuration.
	ConfigurationLease Duration `yaml:"configuration_lease,omitempty"`
}

// Defaults of optional settings.
const (
	defaultRingLines          = 4096
	defaultTick               = 50 * time.Millisecond
	defaultSnapshotEntries    = 10_000
	defaultConfigurationLease = 5 * time.Second
)

// UnmarshalYAML reads a control section over its defaults, so that an explicit 0
// is judged and not replaced.
func (c *Control) UnmarshalYAML(decode func(any) error) error {
	type plain Control
	section := plain{Tick: NewDuration(defaultTick), SnapshotEntries: defaultSnapshotEntries}
	err := decode(&section)
	*c = Control(section)
	return err
}

// UnmarshalYAML reads a node section over its defaults.
func (n *Node) UnmarshalYAML(decode func(any) error) error {
	type plain Node
	section := plain{ConfigurationLease: NewDuration(defaultConfigurationLease)}
	err := decode(&section)
	*n = Node(section)
	return err
}
