package sitestate

import "slices"

// registerStore adds or updates a store machine. An evacuated machine that registers with another
// data folder becomes active again.
func (s *State) registerStore(index uint64, registered Store) Outcome {
	current, known := s.contents.Stores[registered.Name]
	if known && current.SameRegistration(registered) {
		return OutcomeDone
	}
	registered.State = StoreActive
	sameFolder := current.Address == registered.Address && current.Incarnation == registered.Incarnation
	if known && (current.State != StoreEvacuated || sameFolder) {
		registered.State = current.State
	}
	s.contents.Stores[registered.Name] = registered
	s.contents.StoresAt = index
	s.advance(index)
	return OutcomeDone
}

// createShard adds a shard with the next number. It ignores other numbers, which a leader
// proposes if it has missed a shard. The set of shards is final once a model is placed.
func (s *State) createShard(index uint64, creation CreateShard) Outcome {
	if int(creation.Shard.Number) != len(s.contents.Shards)+1 || len(s.contents.Placed) > 0 {
		return OutcomeIgnored
	}
	s.contents.Shards = append(slices.Clone(s.contents.Shards), creation.Shard)
	s.contents.StoresAt = index
	s.advance(index)
	return OutcomeDone
}

func (s *State) place(index uint64, placement Place) Outcome {
	if s.contents.Placed[placement.Model] != 0 {
		return OutcomeIgnored
	}
	if placement.Shard == 0 || int(placement.Shard) > len(s.contents.Shards) {
		return OutcomeUnknown
	}
	s.contents.Placed[placement.Model] = placement.Shard
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
		store.State = StoreEvacuated
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
