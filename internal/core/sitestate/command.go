package sitestate

import (
	"cmp"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/logcodec"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/usage"
)

// Command is one entry of the control log; one field is set.
type Command struct {
	Configuration *Configuration `cbor:"1,keyasint,omitempty"`
	Weights       *Weights       `cbor:"2,keyasint,omitempty"`
	Replica       *Replica       `cbor:"3,keyasint,omitempty"`
	Leave         *Leave         `cbor:"4,keyasint,omitempty"`
	Holder        *Holder        `cbor:"5,keyasint,omitempty"`
	Store         *Store         `cbor:"6,keyasint,omitempty"`
	CreateShard   *CreateShard   `cbor:"7,keyasint,omitempty"`
	Evacuate      *Evacuate      `cbor:"8,keyasint,omitempty"`
	Assign        *Assign        `cbor:"9,keyasint,omitempty"`
	Place         *Place         `cbor:"10,keyasint,omitempty"`
	Usage         *Usage         `cbor:"11,keyasint,omitempty"`
	Quarantine    *Quarantine    `cbor:"12,keyasint,omitempty"`
	Drain         *DrainZone     `cbor:"13,keyasint,omitempty"`
	// Senders is the approximate number of processes that send requests to replicas.
	Senders *uint32 `cbor:"14,keyasint,omitempty"`
	// Level raises the level of commands that all members understand.
	Level *Level `cbor:"15,keyasint,omitempty"`
}

// Quarantine reports events of requests during which replicas crashed. Events are applied in
// order; the outcome is that of the last one.
type Quarantine struct {
	Events []quarantine.Event `cbor:"1,keyasint"`
}

// Usage updates the request counts of tenants. Its parts are applied in field order.
type Usage struct {
	Reports []usage.WindowedReport `cbor:"1,keyasint,omitempty"`
	// CloseUpTo closes all windows up to this one.
	CloseUpTo *usage.Window `cbor:"2,keyasint,omitempty"`
	// Reported is a window that the provider has acknowledged.
	Reported *usage.Window `cbor:"3,keyasint,omitempty"`
}

// Configuration is a complete configuration. Raw is the document as the operator sent it,
// validated before it was proposed.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	Raw     []byte `cbor:"2,keyasint"`
}

// Weights publishes a version of a model's weights.
type Weights struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// ReplicaState determines whether a replica accepts new requests.
type ReplicaState uint8

const (
	// ReplicaReady accepts requests.
	ReplicaReady ReplicaState = iota
	// ReplicaDraining is leaving and accepts no new requests; it never becomes ready again.
	ReplicaDraining
)

// Replica is the latest report of a replica. Each start of a replica has an id of its own, even
// if the replica keeps its name: see State.Identify.
type Replica struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Slots is the number of requests it processes concurrently.
	Slots int          `cbor:"5,keyasint"`
	State ReplicaState `cbor:"6,keyasint"`
	// Sequence increases with each report; a report with a lower one arrived late.
	Sequence uint64 `cbor:"7,keyasint"`
	// Models are the versions of weights that it serves.
	Models []ModelVersion `cbor:"8,keyasint,omitempty"`
	// ChangedAt is the log position of the last change, set by State.
	ChangedAt uint64 `cbor:"9,keyasint,omitempty"`
	// Model is the model whose weight versions are loaded into this replica, empty for none.
	// State sets it on Assign.
	Model string `cbor:"10,keyasint,omitempty"`
	// RoutedAt is the log position of the last change that affects routing regardless of
	// weights, set by State.
	RoutedAt uint64 `cbor:"11,keyasint,omitempty"`
	// Instance is the replica's own name, empty if it equals ID.
	Instance string `cbor:"12,keyasint,omitempty"`
	// StartedAt is its start time in milliseconds since the Unix epoch by its own clock, 0 if
	// not reported.
	StartedAt uint64 `cbor:"13,keyasint,omitempty"`
	// ColdMillis is the warm-up time that remained at the time of the report, 0 if none. A
	// replica handles few requests until it is warm.
	ColdMillis uint32 `cbor:"14,keyasint,omitempty"`
}

// InstanceName returns the replica's own name.
func (r *Replica) InstanceName() string { return cmp.Or(r.Instance, r.ID) }

// MaxEncodedBytes returns an upper bound of the replica's encoding.
func (r *Replica) MaxEncodedBytes() int {
	const (
		fieldBytes = 10 // a key, and a number or the length of a text
		fields     = 14
		modelBytes = 1 + 2*fieldBytes
	)
	size := fields*fieldBytes + len(r.ID) + len(r.Service) + len(r.Address) + len(r.Zone) + len(r.Model) + len(r.Instance)
	for _, served := range r.Models {
		size += modelBytes + len(served.Name)
	}
	return size
}

// sameRouting reports whether two reports are equal for routing that ignores weights.
func sameRouting(a, b Replica) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State &&
		a.ColdMillis == b.ColdMillis
}

// VersionOf returns the version of a model that the replica serves, 0 if none.
func (r *Replica) VersionOf(model string) uint64 {
	for _, served := range r.Models {
		if served.Name == model {
			return served.Version
		}
	}
	return 0
}

// ModelVersion is a model and a version of its weights.
type ModelVersion struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Leave removes a replica.
type Leave struct {
	ID string `cbor:"1,keyasint"`
	// TimedOut is set if the replica stopped reporting instead of requesting to leave; it may
	// rejoin.
	TimedOut bool `cbor:"2,keyasint,omitempty"`
	// Instance and StartedAt identify the start that leaves, if known: they distinguish its
	// late reports from those of a later start under the same name.
	Instance  string `cbor:"3,keyasint,omitempty"`
	StartedAt uint64 `cbor:"4,keyasint,omitempty"`
}

// Holder names the machine that may instruct replicas to load weights.
type Holder struct {
	Machine string `cbor:"1,keyasint"`
	// Address is where the machine receives messages from other processes.
	Address string `cbor:"2,keyasint,omitempty"`
}

// StoreState is the state of a store machine.
type StoreState uint8

const (
	// StoreActive stores data.
	StoreActive StoreState = iota
	// StoreLeaving is being evacuated.
	StoreLeaving
	// StoreEvacuated no longer holds data.
	StoreEvacuated
)

// Store is a store machine.
type Store struct {
	Name    string     `cbor:"1,keyasint"`
	Address string     `cbor:"2,keyasint"`
	Zone    string     `cbor:"3,keyasint"`
	State   StoreState `cbor:"4,keyasint,omitempty"`
	// Incarnation identifies its data folder.
	Incarnation string `cbor:"5,keyasint,omitempty"`
	// Shard is the shard whose group the machine is a member of, 0 for none.
	Shard ShardNumber `cbor:"6,keyasint,omitempty"`
}

// SameRegistration reports whether two registrations of a machine are equal.
func (s Store) SameRegistration(other Store) bool {
	return s.Address == other.Address && s.Incarnation == other.Incarnation && s.Shard == other.Shard
}

// ShardNumber identifies a shard of the jobs, counted from 1; 0 is none.
type ShardNumber uint32

// memberIDsPerShard separates the member ids of shards, so that a message delivered to a
// machine of another shard names an unknown member.
const memberIDsPerShard = 1 << 32

// FounderID returns the id of a founder of the shard's group, by its position among them.
func (n ShardNumber) FounderID(position int) consensus.MemberID {
	return consensus.MemberID(uint64(n-1)*memberIDsPerShard + uint64(position) + 1)
}

// Shard is a partition of the jobs, replicated by its own group of store machines.
type Shard struct {
	Number ShardNumber `cbor:"1,keyasint"`
	// Founders are the first members of its group.
	Founders []groupmember.Record `cbor:"2,keyasint"`
}

// CreateShard creates a shard. It is applied only if it has the next number and no model is
// placed yet.
type CreateShard struct {
	Shard Shard `cbor:"1,keyasint"`
}

// Place assigns a model's jobs to a shard permanently, so that a resubmitted job or item is
// looked up in the shard that stores it. The first placement wins. Jobs without a model are
// placed under the empty name.
type Place struct {
	Model string      `cbor:"1,keyasint"`
	Shard ShardNumber `cbor:"2,keyasint"`
}

// Evacuate advances a store machine's state.
type Evacuate struct {
	Name string `cbor:"1,keyasint"`
	// Done is set once the machine holds no data.
	Done bool `cbor:"2,keyasint,omitempty"`
}

// Assign sets the models that replicas load.
type Assign struct {
	Models map[string]string `cbor:"1,keyasint"` // by replica id
}

// Encode returns the command's encoding for the log. It returns an error if no member could decode it.
func (c Command) Encode() ([]byte, error) { return logcodec.Marshal(c) }

// MaxNameBytes limits a name that arrives in a request and that the state keeps: every view has it.
const MaxNameBytes = 256

// Outcome is the result of a command.
type Outcome uint8

const (
	// OutcomeDone means that the command was applied, or changed nothing.
	OutcomeDone Outcome = iota
	// OutcomeIgnored means that the command is older than the state.
	OutcomeIgnored
	// OutcomeUnknown means that the named machine is not known.
	OutcomeUnknown
	// OutcomeMalformed means that the entry is not a command.
	OutcomeMalformed
)
