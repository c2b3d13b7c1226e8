package sitestate

import "slices"

// registerStore notes a store machine. A machine that registers with another
// data folder starts anew, also if it was emptied before.
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
	s.changed(index)
	return OutcomeDone
}

// found adds a shard. One whose number is not the next was decided on by a leader
// that did not know of another one. There is none once a model is placed: who knows of
// one knows all shards then.
func (s *State) found(index uint64, founding Found) Outcome {
	if int(founding.Shard.Number) != len(s.contents.Shards)+1 || len(s.contents.Placed) > 0 {
		return OutcomeIgnored
	}
	s.contents.Shards = append(slices.Clone(s.contents.Shards), founding.Shard)
	s.contents.StoresAt = index
	s.changed(index)
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
	s.changed(index)
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
	s.changed(index)
	return OutcomeDone
}
