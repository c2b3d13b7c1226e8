package sitestate

import (
	"maps"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// Update is what an observer lacks. Parts that have not changed are left out.
type Update struct {
	// Position is the log position that the observer holds afterwards.
	Position      uint64         `cbor:"1,keyasint"`
	Configuration *Configuration `cbor:"2,keyasint,omitempty"`
	Replicas      []Replica      `cbor:"3,keyasint,omitempty"`
	// Gone are ids of replicas that left.
	Gone     []string             `cbor:"4,keyasint,omitempty"`
	Weights  map[string]uint64    `cbor:"5,keyasint,omitempty"`
	Stores   []Store              `cbor:"6,keyasint,omitempty"`
	Founders []groupmember.Record `cbor:"7,keyasint,omitempty"`
	// Members are the control members; the serving process sets them.
	Members []groupmember.Record `cbor:"8,keyasint,omitempty"`
	// Confirmed is set by a member in touch with a quorum and caught up.
	Confirmed bool `cbor:"9,keyasint,omitempty"`
	// Whole is set if the update holds everything and replaces what the
	// observer has.
	Whole bool `cbor:"10,keyasint,omitempty"`
}

// Update gives what an observer at position after lacks. An observer that is
// ahead of this state gets an update without changes.
func (s *State) Update(after uint64) Update {
	update := Update{Position: s.contents.Position}
	if after >= s.contents.Position && after > 0 {
		return update
	}
	update.Whole = after == 0
	if s.contents.ConfigurationAt > after {
		configuration := s.contents.Configuration
		update.Configuration = &configuration
	}
	for _, replica := range s.Replicas() {
		if replica.ChangedAt > after {
			update.Replicas = append(update.Replicas, replica)
		}
	}
	for _, left := range s.contents.Gone {
		if left.ChangedAt > after && after > 0 {
			update.Gone = append(update.Gone, left.ID)
		}
	}
	if s.contents.WeightsAt > after {
		update.Weights = maps.Clone(s.contents.Weights)
	}
	if s.contents.StoresAt > after {
		update.Stores = s.Stores()
		update.Founders = s.contents.Founders
	}
	return update
}

// View is what an observer holds. It is immutable; Apply gives the next one.
type View struct {
	Position      uint64
	Configuration Configuration
	Replicas      map[string]Replica
	Weights       map[string]uint64
	Stores        []Store
	Founders      []groupmember.Record
	Members       []groupmember.Record
}

// Apply gives the view after an update. An update from a member that is behind
// the view changes nothing.
func (v *View) Apply(update Update) *View {
	next := &View{}
	if v != nil {
		*next = *v
	}
	if update.Position < next.Position {
		return next
	}
	next.Position = update.Position
	if update.Configuration != nil && update.Configuration.Version >= next.Configuration.Version {
		next.Configuration = *update.Configuration
	}
	if update.Whole || len(update.Replicas) > 0 || len(update.Gone) > 0 {
		next.Replicas = replicasAfter(next.Replicas, update)
	}
	if update.Weights != nil {
		next.Weights = update.Weights
	}
	if update.Stores != nil {
		next.Stores = update.Stores
		next.Founders = update.Founders
	}
	if len(update.Members) > 0 {
		next.Members = update.Members
	}
	return next
}

func replicasAfter(held map[string]Replica, update Update) map[string]Replica {
	replicas := map[string]Replica{}
	if !update.Whole {
		maps.Copy(replicas, held)
	}
	for _, replica := range update.Replicas {
		replicas[replica.ID] = replica
	}
	for _, id := range update.Gone {
		delete(replicas, id)
	}
	return replicas
}
