package sitestate

import (
	"bytes"
	"maps"
	"sort"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/logcodec"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/usage"
)

// maxTombstones limits the number of tombstones.
const maxTombstones = 20000

// tombstone is a replica that left. One that left permanently may not return.
type tombstone struct {
	ID        string `cbor:"1,keyasint"`
	ChangedAt uint64 `cbor:"2,keyasint"`
	Permanent bool   `cbor:"3,keyasint"`
	// Instance and StartedAt are as in Replica.
	Instance  string `cbor:"4,keyasint,omitempty"`
	StartedAt uint64 `cbor:"5,keyasint,omitempty"`
}

// contents is the encoded part of the state.
type contents struct {
	Position        uint64             `cbor:"1,keyasint"`
	Configuration   Configuration      `cbor:"2,keyasint"`
	ConfigurationAt uint64             `cbor:"3,keyasint"`
	Replicas        map[string]Replica `cbor:"4,keyasint"`
	Tombstones      []tombstone        `cbor:"5,keyasint"`
	Weights         map[string]uint64  `cbor:"6,keyasint"`
	WeightsAt       uint64             `cbor:"7,keyasint"`
	Holder          Holder             `cbor:"8,keyasint"`
	Stores          map[string]Store   `cbor:"9,keyasint"`
	// StoresAt is the position of the last change of Stores, Shards and Placed.
	StoresAt uint64                 `cbor:"10,keyasint"`
	Shards   []Shard                `cbor:"12,keyasint"`
	Placed   map[string]ShardNumber `cbor:"13,keyasint"` // by model
	// Usage is not sent to observers, so its changes do not advance Position.
	Usage usage.Ledger `cbor:"14,keyasint"`
	// Quarantine holds requests during which replicas crashed; QuarantineAt is the position of
	// the last change that observers receive.
	Quarantine   quarantine.Ledger `cbor:"15,keyasint"`
	QuarantineAt uint64            `cbor:"16,keyasint"`
	// Drained maps the drained zones to the position at which each drain started; DrainedAt
	// is the position of the last change.
	Drained   map[string]uint64 `cbor:"17,keyasint,omitempty"`
	DrainedAt uint64            `cbor:"18,keyasint,omitempty"`
	// Senders is the approximate number of processes that send requests to replicas, 0 if
	// unknown; SendersAt is the position of its last change.
	Senders   uint32 `cbor:"19,keyasint,omitempty"`
	SendersAt uint64 `cbor:"20,keyasint,omitempty"`
	// Level is not sent to observers, so its changes do not advance Position.
	Level Level `cbor:"21,keyasint,omitempty"`
}

// State is the control state. It is not safe for concurrent use; values that it returns do not
// change later. The cost of a change or an update depends on its size, not on the number of
// replicas.
type State struct {
	contents contents
	index    index
}

// New returns an empty state.
func New() *State {
	state := &State{}
	state.initialize()
	return state
}

func (s *State) initialize() {
	if s.contents.Replicas == nil {
		s.contents.Replicas = map[string]Replica{}
	}
	if s.contents.Weights == nil {
		s.contents.Weights = map[string]uint64{}
	}
	if s.contents.Stores == nil {
		s.contents.Stores = map[string]Store{}
	}
	if s.contents.Placed == nil {
		s.contents.Placed = map[string]ShardNumber{}
	}
	if s.contents.Drained == nil {
		s.contents.Drained = map[string]uint64{}
	}
	s.index = newIndex(&s.contents)
}

// Snapshot implements groupmember.StateMachine. The state is small, so it is encoded
// immediately.
func (s *State) Snapshot() groupmember.Encoder {
	var data bytes.Buffer
	err := logcodec.MarshalToBuffer(s.contents, &data)
	return func(into *bytes.Buffer) error {
		into.Write(data.Bytes())
		return err
	}
}

// Restore implements groupmember.StateMachine.
func (s *State) Restore(data []byte) error {
	var restored contents
	if err := logcodec.Unmarshal(data, &restored); err != nil {
		return err
	}
	s.contents = restored
	s.initialize()
	return nil
}

// Position returns the log position of the last change.
func (s *State) Position() uint64 { return s.contents.Position }

// Configuration returns the current configuration; version 0 is none.
func (s *State) Configuration() Configuration { return s.contents.Configuration }

// Replica returns a replica by id.
func (s *State) Replica(id string) (Replica, bool) {
	replica, found := s.contents.Replicas[id]
	return replica, found
}

// ReplicaAt returns the replica that is registered with an address.
func (s *State) ReplicaAt(address string) (Replica, bool) {
	replica, found := s.contents.Replicas[s.index.byAddress[address]]
	return replica, found
}

// HasLeft reports whether a replica left permanently.
func (s *State) HasLeft(id string) bool { return s.index.permanent[id] }

// Replicas returns all replicas sorted by id.
func (s *State) Replicas() []Replica {
	replicas := make([]Replica, 0, len(s.contents.Replicas))
	for _, replica := range s.contents.Replicas {
		replicas = append(replicas, replica)
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].ID < replicas[j].ID })
	return replicas
}

// Weights returns the newest published version of a model; 0 is none.
func (s *State) Weights(model string) uint64 { return s.contents.Weights[model] }

// Holder returns the machine that may instruct replicas; its name is empty if there is none.
func (s *State) Holder() Holder { return s.contents.Holder }

// Store returns a store machine by name.
func (s *State) Store(name string) (Store, bool) {
	store, found := s.contents.Stores[name]
	return store, found
}

// Stores returns the store machines sorted by name.
func (s *State) Stores() []Store {
	stores := make([]Store, 0, len(s.contents.Stores))
	for _, store := range s.contents.Stores {
		stores = append(stores, store)
	}
	sort.Slice(stores, func(i, j int) bool { return stores[i].Name < stores[j].Name })
	return stores
}

// Shards returns the shards of the jobs by number.
func (s *State) Shards() []Shard { return s.contents.Shards }

// UnreportedUsage returns the closed usage windows that are not yet reported, oldest first. The caller
// must not modify them.
func (s *State) UnreportedUsage() []usage.Total { return s.contents.Usage.Closed }

// UsageDue reports whether open windows up to upTo have requests, or follow a closed window.
func (s *State) UsageDue(upTo usage.Window) bool { return s.contents.Usage.Due(upTo) }

// OldestOpenUsage returns the oldest open usage window. It returns false while all are open.
func (s *State) OldestOpenUsage() (usage.Window, bool) {
	return s.contents.Usage.Next, s.contents.Usage.Started
}

// Placed returns the shard of each model's jobs.
func (s *State) Placed() map[string]ShardNumber { return maps.Clone(s.contents.Placed) }

// Apply implements groupmember.StateMachine and returns an Outcome.
func (s *State) Apply(index uint64, data []byte) any {
	var command Command
	if err := logcodec.Unmarshal(data, &command); err != nil {
		return OutcomeMalformed
	}
	return s.apply(index, command)
}

func (s *State) apply(index uint64, command Command) Outcome {
	switch {
	case command.Configuration != nil:
		return s.putConfiguration(index, *command.Configuration)
	case command.Weights != nil:
		return s.publishWeights(index, *command.Weights)
	case command.Replica != nil:
		return s.reportReplica(index, *command.Replica)
	case command.Leave != nil:
		return s.leave(index, *command.Leave)
	case command.Holder != nil:
		s.contents.Holder = *command.Holder
		return OutcomeDone
	case command.Store != nil:
		return s.registerStore(index, *command.Store)
	case command.CreateShard != nil:
		return s.createShard(index, *command.CreateShard)
	case command.Evacuate != nil:
		return s.evacuate(index, *command.Evacuate)
	case command.Assign != nil:
		return s.assign(index, *command.Assign)
	case command.Place != nil:
		return s.place(index, *command.Place)
	case command.Usage != nil:
		return s.applyUsage(*command.Usage)
	case command.Quarantine != nil:
		return s.applyQuarantine(index, *command.Quarantine)
	case command.Drain != nil:
		return s.drain(index, *command.Drain)
	case command.Level != nil:
		return s.raiseLevel(*command.Level)
	case command.Senders != nil:
		s.contents.Senders, s.contents.SendersAt = *command.Senders, index
		s.advance(index)
		return OutcomeDone
	default:
		return OutcomeMalformed
	}
}

func (s *State) advance(index uint64) { s.contents.Position = index }

// putConfiguration sets the configuration if its version is higher than the current one.
func (s *State) putConfiguration(index uint64, put Configuration) Outcome {
	if put.Version <= s.contents.Configuration.Version {
		return OutcomeIgnored
	}
	s.contents.Configuration = put
	s.contents.ConfigurationAt = index
	s.advance(index)
	return OutcomeDone
}

func (s *State) publishWeights(index uint64, published Weights) Outcome {
	if published.Version <= s.contents.Weights[published.Model] {
		return OutcomeIgnored
	}
	s.contents.Weights[published.Model] = published.Version
	s.contents.WeightsAt = index
	s.advance(index)
	return OutcomeDone
}

// applyUsage adds reported requests and closes windows; requests of closed windows are not
// counted.
func (s *State) applyUsage(change Usage) Outcome {
	outcome := OutcomeDone
	for _, report := range change.Reports {
		if s.contents.Usage.Add(report) > 0 {
			outcome = OutcomeIgnored
		}
	}
	if change.CloseUpTo != nil {
		s.contents.Usage.Close(*change.CloseUpTo)
	}
	if change.Reported != nil {
		s.contents.Usage.Acknowledge(*change.Reported)
	}
	return outcome
}
