package sitestate

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
)

// Update holds the changes that an observer is missing. Unchanged parts are omitted.
type Update struct {
	// Position is the log position that the observer has after the update.
	Position      uint64         `cbor:"1,keyasint"`
	Configuration *Configuration `cbor:"2,keyasint,omitempty"`
	Replicas      []Replica      `cbor:"3,keyasint,omitempty"`
	// Removed lists the ids of replicas that left.
	Removed []string          `cbor:"4,keyasint,omitempty"`
	Weights map[string]uint64 `cbor:"5,keyasint,omitempty"`
	Stores  []Store           `cbor:"6,keyasint,omitempty"`
	// Shards and Placed are set with Stores.
	Shards []Shard                `cbor:"11,keyasint,omitempty"`
	Placed map[string]ShardNumber `cbor:"12,keyasint,omitempty"`
	// Quarantine is set if it has changed.
	Quarantine *Suspects `cbor:"13,keyasint,omitempty"`
	// Drains is set if it has changed.
	Drains *Drains `cbor:"14,keyasint,omitempty"`
	// Senders is set if it has changed.
	Senders *uint32 `cbor:"15,keyasint,omitempty"`
	// Members are the control members, set by the serving process.
	Members []groupmember.Record `cbor:"8,keyasint,omitempty"`
	// Confirmed is set by a member that is caught up and in contact with a quorum.
	Confirmed bool `cbor:"9,keyasint,omitempty"`
	// Full is set if the update holds the complete state and replaces that of the observer.
	Full bool `cbor:"10,keyasint,omitempty"`
}

// Suspects holds the quarantined requests that observers receive.
type Suspects struct {
	List []quarantine.Suspect `cbor:"1,keyasint"`
}

// Interest selects the replica changes that an observer receives.
type Interest uint8

const (
	// InterestAll selects every change.
	InterestAll Interest = iota
	// InterestRouting omits changes of weights only.
	InterestRouting
)

// Empty reports whether the update contains no change.
func (u *Update) Empty() bool {
	return !u.Full && u.Configuration == nil && len(u.Replicas) == 0 && len(u.Removed) == 0 && u.Weights == nil && u.Stores == nil && u.Quarantine == nil && u.Drains == nil && u.Senders == nil && len(u.Members) == 0
}

// Update returns what an observer at position after is missing. An observer ahead of this state
// gets an update without changes.
func (s *State) Update(after uint64, interest Interest) Update {
	update := Update{Position: s.contents.Position}
	if after >= s.contents.Position && after > 0 {
		return update
	}
	update.Full = after == 0
	if s.contents.ConfigurationAt > after {
		configuration := s.contents.Configuration
		update.Configuration = &configuration
	}
	if update.Full {
		update.Replicas = s.Replicas()
	} else {
		update.Replicas, update.Removed = s.changedReplicas(after, interest), s.departedAfter(after)
	}
	if s.contents.WeightsAt > after {
		update.Weights = maps.Clone(s.contents.Weights)
	}
	if s.contents.StoresAt > after {
		update.Stores = s.Stores()
		update.Shards, update.Placed = s.contents.Shards, maps.Clone(s.contents.Placed)
	}
	if s.contents.QuarantineAt > after {
		update.Quarantine = &Suspects{List: s.contents.Quarantine.Shared()}
	}
	if s.contents.DrainedAt > after {
		update.Drains = &Drains{Zones: s.Drained()}
	}
	if s.contents.SendersAt > after {
		senders := s.contents.Senders
		update.Senders = &senders
	}
	return update
}

func (s *State) changedReplicas(after uint64, interest Interest) []Replica {
	var changed []Replica
	for _, change := range s.index.changesAfter(after) {
		replica, known := s.contents.Replicas[change.id]
		if !known || replica.ChangedAt != change.at {
			continue
		}
		if interest == InterestAll || replica.RoutedAt > after {
			changed = append(changed, replica)
		}
	}
	return changed
}

func (s *State) departedAfter(after uint64) []string {
	first := sort.Search(len(s.contents.Tombstones), func(i int) bool { return s.contents.Tombstones[i].ChangedAt > after })
	var ids []string
	for _, t := range s.contents.Tombstones[first:] {
		ids = append(ids, t.ID)
	}
	return ids
}

// View is an observer's copy of the state. It is immutable; Apply returns the next one.
type View struct {
	Position      uint64
	Configuration Configuration
	Replicas      ReplicaSet
	// ByService holds the replicas that accept requests, by service.
	ByService map[string]ReplicaList
	// Drained lists the drained zones in order.
	Drained []string
	// Senders is the approximate number of processes that send requests to replicas, 0 if unknown.
	Senders uint32
	Weights map[string]uint64
	Stores  []Store
	// Shards are the shards of the jobs by number, Placed the shard of each model's jobs.
	Shards  []Shard
	Placed  map[string]ShardNumber
	Members []groupmember.Record
	// Suspects are requests during which replicas crashed, indexed by Quarantine.
	Suspects   []quarantine.Suspect
	Quarantine *quarantine.Index
}

// Update returns the complete view without the members.
func (v *View) Update() Update {
	update := Update{
		Position: v.Position, Full: true, Weights: v.Weights, Stores: v.Stores, Shards: v.Shards, Placed: v.Placed,
		Replicas: v.sortedReplicas(),
	}
	if v.Configuration.Version > 0 {
		update.Configuration = &v.Configuration
	}
	if len(v.Suspects) > 0 {
		update.Quarantine = &Suspects{List: v.Suspects}
	}
	if len(v.Drained) > 0 {
		update.Drains = &Drains{Zones: v.Drained}
	}
	if v.Senders > 0 {
		update.Senders = &v.Senders
	}
	return update
}

// Withheld returns the number of withheld requests.
func (v *View) Withheld() (count int) {
	for i := range v.Suspects {
		if v.Suspects[i].Withheld() {
			count++
		}
	}
	return count
}

// Apply returns the view after an update. An update that is older than the view changes
// nothing.
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
	next.applyReplicas(update)
	if update.Senders != nil {
		next.Senders = *update.Senders
	}
	if update.Weights != nil {
		next.Weights = update.Weights
	}
	if update.Stores != nil {
		next.Stores = update.Stores
		next.Shards, next.Placed = update.Shards, update.Placed
	}
	if update.Full || update.Quarantine != nil {
		next.Suspects = update.suspects()
		next.Quarantine = quarantine.NewIndex(next.Suspects)
	}
	if len(update.Members) > 0 {
		next.Members = update.Members
	}
	return next
}

// applyReplicas applies the changes of replicas and drained zones.
func (v *View) applyReplicas(update Update) {
	drainsChange := update.Full || update.Drains != nil
	if drainsChange {
		v.Drained = update.drained()
	}
	previous := v.Replicas
	if update.Full || len(update.Replicas) > 0 || len(update.Removed) > 0 {
		v.Replicas = replicasAfter(previous, update)
	} else if !drainsChange {
		return
	}
	if drainsChange || v.ByService == nil {
		v.ByService = v.byService()
		return
	}
	v.ByService = v.updateByService(previous, update)
}

func (u *Update) drained() []string {
	if u.Drains == nil {
		return nil
	}
	return u.Drains.Zones
}

func (u *Update) suspects() []quarantine.Suspect {
	if u.Quarantine == nil {
		return nil
	}
	return u.Quarantine.List
}

func replicasAfter(previous ReplicaSet, update Update) ReplicaSet {
	if update.Full {
		previous = ReplicaSet{}
	}
	edit := previous.edit()
	for _, replica := range update.Replicas {
		edit.put(replica)
	}
	for _, id := range update.Removed {
		edit.remove(id)
	}
	return edit.finish()
}

func (v *View) sortedReplicas() []Replica {
	sorted := make([]Replica, 0, v.Replicas.Len())
	for _, replica := range v.Replicas.All() {
		sorted = append(sorted, replica)
	}
	slices.SortFunc(sorted, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}
