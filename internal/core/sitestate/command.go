package sitestate

import (
	"cmp"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
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
	Found         *Found         `cbor:"7,keyasint,omitempty"`
	Evacuate      *Evacuate      `cbor:"8,keyasint,omitempty"`
	Assign        *Assign        `cbor:"9,keyasint,omitempty"`
	Place         *Place         `cbor:"10,keyasint,omitempty"`
	Usage         *Usage         `cbor:"11,keyasint,omitempty"`
	Quarantine    *Quarantine    `cbor:"12,keyasint,omitempty"`
	Drain         *DrainZone     `cbor:"13,keyasint,omitempty"`
	// Senders is about how many processes send requests to replicas.
	Senders *uint32 `cbor:"14,keyasint,omitempty"`
	// Level is one that all members know from here on.
	Level *Level `cbor:"15,keyasint,omitempty"`
}

// Quarantine tells what processes saw of requests under which replicas end. Events take
// effect in order; the outcome is that of the last one.
type Quarantine struct {
	Events []quarantine.Event `cbor:"1,keyasint"`
}

// Usage moves the counts of tenants' requests on. Its parts take effect in this order.
type Usage struct {
	Noted []usage.Noted `cbor:"1,keyasint,omitempty"`
	// FixUpTo closes all windows up to this one.
	FixUpTo *usage.Window `cbor:"2,keyasint,omitempty"`
	// Sent is a window that the provider has taken.
	Sent *usage.Window `cbor:"3,keyasint,omitempty"`
}

// Configuration is a whole configuration. Raw is the document as the operator
// sent it, checked before it was proposed.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	Raw     []byte `cbor:"2,keyasint"`
}

// Weights publishes a version of a model's weights.
type Weights struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// ReplicaState says whether a replica takes requests.
type ReplicaState uint8

const (
	// ReplicaReady takes requests.
	ReplicaReady ReplicaState = iota
	// ReplicaDraining leaves and takes no new ones; it never returns.
	ReplicaDraining
)

// Replica is what a replica reports of itself. Each start of a replica has an
// id of its own here, also if the replica itself keeps its name: see State.Identify.
type Replica struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Slots is how many requests it works on at once.
	Slots int          `cbor:"5,keyasint"`
	State ReplicaState `cbor:"6,keyasint"`
	// Sequence rises with each report; a late one is recognized by it.
	Sequence uint64 `cbor:"7,keyasint"`
	// Models are the weights that it serves.
	Models []ModelVersion `cbor:"8,keyasint,omitempty"`
	// ChangedAt is the log position of the last change; State sets it.
	ChangedAt uint64 `cbor:"9,keyasint,omitempty"`
	// Model is the model whose versions this replica is kept at; empty takes
	// none. State sets it by Assign.
	Model string `cbor:"10,keyasint,omitempty"`
	// RoutedAt is the log position of the last change that matters to who sends
	// requests whatever weights a replica has; State sets it.
	RoutedAt uint64 `cbor:"11,keyasint,omitempty"`
	// Instance is the name that the replica answers to, empty where it is ID.
	Instance string `cbor:"12,keyasint,omitempty"`
	// Born is when it started, in milliseconds since the start of 1970 by its own clock; 0
	// where it does not say.
	Born uint64 `cbor:"13,keyasint,omitempty"`
	// ColdMillis is how much longer, from its report on, it bears few requests; 0 once it
	// bears as many as it has slots for.
	ColdMillis uint32 `cbor:"14,keyasint,omitempty"`
}

// InstanceName is the name that the replica answers to.
func (r *Replica) InstanceName() string { return cmp.Or(r.Instance, r.ID) }

// sameRouting reports whether two reports are equal to a sender of requests that
// does not look at weights.
func sameRouting(a, b Replica) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State &&
		a.ColdMillis == b.ColdMillis
}

// VersionOf gives the version of a model that the replica serves, 0 if none.
func (r *Replica) VersionOf(model string) uint64 {
	for _, served := range r.Models {
		if served.Name == model {
			return served.Version
		}
	}
	return 0
}

// ModelVersion is a model with the version of its weights.
type ModelVersion struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Leave takes a replica out.
type Leave struct {
	ID string `cbor:"1,keyasint"`
	// Silent is set if the replica did not ask for it but was not heard of;
	// it may come back.
	Silent bool `cbor:"2,keyasint,omitempty"`
	// Instance and Born are those of the start that leaves, as far as it says so: they tell
	// its later words from those of a later start under the same name.
	Instance string `cbor:"3,keyasint,omitempty"`
	Born     uint64 `cbor:"4,keyasint,omitempty"`
}

// Holder names the machine that may order replicas from now on.
type Holder struct {
	Machine string `cbor:"1,keyasint"`
	// Address is where the machine takes messages of other processes.
	Address string `cbor:"2,keyasint,omitempty"`
}

// StoreState says what a store machine is to do.
type StoreState uint8

const (
	// StoreActive keeps data.
	StoreActive StoreState = iota
	// StoreLeaving is being emptied.
	StoreLeaving
	// StoreEmptied holds nothing any more.
	StoreEmptied
)

// Store is a store machine.
type Store struct {
	Name    string     `cbor:"1,keyasint"`
	Address string     `cbor:"2,keyasint"`
	Zone    string     `cbor:"3,keyasint"`
	State   StoreState `cbor:"4,keyasint,omitempty"`
	// Incarnation is that of its data folder.
	Incarnation string `cbor:"5,keyasint,omitempty"`
	// Shard is the one whose group the machine is a member of, 0 while it is in none.
	Shard ShardNumber `cbor:"6,keyasint,omitempty"`
}

// SameRegistration reports whether two registrations of a machine say the same.
func (s Store) SameRegistration(other Store) bool {
	return s.Address == other.Address && s.Incarnation == other.Incarnation && s.Shard == other.Shard
}

// ShardNumber names a shard of the jobs, counted from 1; 0 is none.
type ShardNumber uint32

// memberIDsPerShard keeps the members of all shards apart: a message that reaches a
// machine of another shard is for an id that nobody has there.
const memberIDsPerShard = 1 << 32

// FounderID gives the id of a founder of the shard's group, by its position among them.
func (n ShardNumber) FounderID(position int) consensus.MemberID {
	return consensus.MemberID(uint64(n-1)*memberIDsPerShard + uint64(position) + 1)
}

// Shard is a part of the jobs, which a group of store machines of its own keeps.
type Shard struct {
	Number ShardNumber `cbor:"1,keyasint"`
	// Founders are the first members of its group.
	Founders []groupmember.Record `cbor:"2,keyasint"`
}

// Found adds a shard. It takes effect only if it has the next number, and no model is
// placed yet.
type Found struct {
	Shard Shard `cbor:"1,keyasint"`
}

// Place gives a model's jobs to a shard, for good: a job that comes again must find
// itself, and items that come back in a later job their text. The first one holds.
// Jobs without a model are placed under the empty name.
type Place struct {
	Model string      `cbor:"1,keyasint"`
	Shard ShardNumber `cbor:"2,keyasint"`
}

// Evacuate moves a store machine's state on.
type Evacuate struct {
	Name string `cbor:"1,keyasint"`
	// Done is set once the machine holds nothing any more.
	Done bool `cbor:"2,keyasint,omitempty"`
}

// Assign gives replicas the models that they are kept at.
type Assign struct {
	Models map[string]string `cbor:"1,keyasint"` // by replica id
}

// Encode gives a command's bytes in the log.
func (c Command) Encode() ([]byte, error) { return cbor.Marshal(c) }

// Outcome answers a command.
type Outcome uint8

const (
	// OutcomeDone says that the command took effect, or holds already.
	OutcomeDone Outcome = iota
	// OutcomeIgnored says that the command is older than what holds.
	OutcomeIgnored
	// OutcomeUnknown says that the named machine is not known.
	OutcomeUnknown
	// OutcomeMalformed says that the entry was no command.
	OutcomeMalformed
)
