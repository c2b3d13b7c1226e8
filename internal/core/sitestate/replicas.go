package sitestate

import "slices"

// reportReplica applies a replica's report. A replica that left permanently cannot rejoin, a
// draining one stays draining, and a late report changes nothing.
func (s *State) reportReplica(index uint64, report Replica) Outcome {
	if s.index.permanent[report.ID] {
		return OutcomeIgnored
	}
	current, known := s.contents.Replicas[report.ID]
	if known && report.Sequence <= current.Sequence && report.State != ReplicaDraining {
		return OutcomeIgnored
	}
	if known && current.State == ReplicaDraining {
		report.State = ReplicaDraining
	}
	report.Sequence = max(report.Sequence, current.Sequence)
	report.Model = current.Model
	report.RoutedAt = current.RoutedAt
	if !known || !sameRouting(current, report) {
		report.RoutedAt = index
	}
	s.removeTombstone(report.ID)
	s.dropAddress(index, report)
	s.put(index, report)
	s.advance(index)
	return OutcomeDone
}

// put adds or replaces a replica.
func (s *State) put(index uint64, replica Replica) {
	replica.ChangedAt = index
	if current, known := s.contents.Replicas[replica.ID]; known {
		s.index.dropAddress(current)
	}
	s.contents.Replicas[replica.ID] = replica
	s.index.recordChange(replica, s.contents.Replicas)
}

// dropAddress removes another replica that had the reporter's address.
func (s *State) dropAddress(index uint64, reporter Replica) {
	other, found := s.contents.Replicas[s.index.byAddress[reporter.Address]]
	if found && other.ID != reporter.ID {
		s.remove(index, other, true)
	}
}

func (s *State) removeTombstone(id string) {
	if !s.index.tombstones[id] {
		return
	}
	delete(s.index.tombstones, id)
	s.contents.Tombstones = slices.DeleteFunc(s.contents.Tombstones, func(t tombstone) bool { return t.ID == id })
}

// leave removes a replica: permanently, unless it timed out before it started to drain.
func (s *State) leave(index uint64, departure Leave) Outcome {
	current, known := s.contents.Replicas[departure.ID]
	if departure.TimedOut && !known {
		return OutcomeIgnored
	}
	if s.index.permanent[departure.ID] {
		return OutcomeDone
	}
	if !known {
		current = Replica{ID: departure.ID, Instance: departure.Instance, StartedAt: departure.StartedAt}
	}
	s.remove(index, current, !departure.TimedOut || current.State == ReplicaDraining)
	s.advance(index)
	return OutcomeDone
}

// remove removes a replica and records a tombstone, also for an unknown one.
func (s *State) remove(index uint64, replica Replica, permanent bool) {
	id := replica.ID
	if current, known := s.contents.Replicas[id]; known {
		s.index.dropAddress(current)
		delete(s.contents.Replicas, id)
	}
	s.removeTombstone(id)
	added := tombstone{ID: id, ChangedAt: index, Permanent: permanent, Instance: replica.Instance, StartedAt: replica.StartedAt}
	s.contents.Tombstones = append(s.contents.Tombstones, added)
	s.index.addTombstone(added)
	if excess := len(s.contents.Tombstones) - maxTombstones; excess > 0 {
		for _, old := range s.contents.Tombstones[:excess] {
			s.index.removeTombstone(old)
		}
		s.contents.Tombstones = slices.Clone(s.contents.Tombstones[excess:])
	}
}

func (s *State) assign(index uint64, assigned Assign) Outcome {
	for id, model := range assigned.Models {
		replica, known := s.contents.Replicas[id]
		if !known || replica.Model == model {
			continue
		}
		replica.Model = model
		s.put(index, replica)
		s.advance(index)
	}
	return OutcomeDone
}
