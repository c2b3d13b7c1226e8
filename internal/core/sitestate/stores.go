package sitestate

import "slices"

// registerStore adds or updates a store machine. An emptied machine that registers with another
// data folder becomes active again.
func (s *State) registerStore(index uint64, registered Store) Outcome {
	held, known := s.contents.Stores[registered.Name]
	if known && held.SameRegistration(registered) {
		return OutcomeDone
	}
	registered.State = StoreActive
	sameFolder := held.Address == registered.Address && held.Incarnation == registered.Incarnation
	if known && (held.State != StoreEmptied || sameFolder) {
		registered.State = held.State
	}
	s.contents.Stores[registered.Name] = registered
	s.contents.StoresAt = index
	s.advance(index)
	return OutcomeDone
}

// createShard adds a shard. It ignores a number that is not the next, which a leader proposed
// without knowing of another shard. The set of shards is final once a model is placed.
func (s *State) createShard(index uint64, founding CreateShard) Outcome {
	if int(founding.Shard.Number) != len(s.contents.Shards)+1 || len(s.contents.Placed) > 0 {
		return OutcomeIgnored
	}
	s.contents.Shards = append(slices.Clone(s.contents.Shards), founding.Shard)
	s.contents.StoresAt = index
	s.advance(index)
	return OutcomeDone
}

func (s *State) place(index uint64, placing Place) Outcome {
	if s.contents.Placed[placing.Model] != 0 {
		return OutcomeIgnored
	}
	if placing.Shard == 0 || int(placing.Shard) > len(s.contents.Shards) {
		return OutcomeUnknown
	}
	s.contents.Placed[placing.Model] = placing.Shard
	s.contents.StoresAt = index
	s.advance(index)
	return OutcomeDone
}

func (s *State) evacuate(index uint64, evacuation Evacuate) Outcome {
	store, known := s.contents.Stores[evacuation.Name]
	if !known {
		return OutcomeUnknown
	}
	switch {
	case evacuation.Done && store.State == StoreLeaving:
		store.State = StoreEmptied
	case !evacuation.Done && store.State == StoreActive:
		store.State = StoreLeaving
	default:
		return OutcomeDone
	}
	s.contents.Stores[evacuation.Name] = store
	s.contents.StoresAt = index
	s.advance(index)
	return OutcomeDone
}
