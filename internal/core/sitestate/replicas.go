package sitestate

import "slices"

// reportReplica applies a replica's report. One that left permanently does not return, a
// draining one stays draining, and a late report changes nothing.
func (s *State) reportReplica(index uint64, report Replica) Outcome {
	if s.index.permanent[report.ID] {
		return OutcomeIgnored
	}
	held, known := s.contents.Replicas[report.ID]
	if known && report.Sequence <= held.Sequence && report.State != ReplicaDraining {
		return OutcomeIgnored
	}
	if known && held.State == ReplicaDraining {
		report.State = ReplicaDraining
	}
	report.Sequence = max(report.Sequence, held.Sequence)
	report.Model = held.Model
	report.RoutedAt = held.RoutedAt
	if !known || !sameRouting(held, report) {
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
	if held, known := s.contents.Replicas[replica.ID]; known {
		s.index.dropAddress(held)
	}
	s.contents.Replicas[replica.ID] = replica
	s.index.recordChange(replica, s.contents.Replicas)
}

// dropAddress removes another replica that had the reporter's address.
func (s *State) dropAddress(index uint64, reporter Replica) {
	other, taken := s.contents.Replicas[s.index.byAddress[reporter.Address]]
	if taken && other.ID != reporter.ID {
		s.remove(index, other, true)
	}
}

func (s *State) removeTombstone(id string) {
	if !s.index.tombstones[id] {
		return
	}
	delete(s.index.tombstones, id)
	s.contents.Tombstones = slices.DeleteFunc(s.contents.Tombstones, func(left tombstone) bool { return left.ID == id })
}

// leave removes a replica: permanently, unless it timed out before it started to drain.
func (s *State) leave(index uint64, left Leave) Outcome {
	held, known := s.contents.Replicas[left.ID]
	if left.TimedOut && !known {
		return OutcomeIgnored
	}
	if s.index.permanent[left.ID] {
		return OutcomeDone
	}
	if !known {
		held = Replica{ID: left.ID, Instance: left.Instance, StartedAt: left.StartedAt}
	}
	s.remove(index, held, !left.TimedOut || held.State == ReplicaDraining)
	s.advance(index)
	return OutcomeDone
}

// remove removes a replica and records a tombstone, also for an unknown one.
func (s *State) remove(index uint64, replica Replica, permanent bool) {
	id := replica.ID
	if held, known := s.contents.Replicas[id]; known {
		s.index.dropAddress(held)
		delete(s.contents.Replicas, id)
	}
	s.removeTombstone(id)
	left := tombstone{ID: id, ChangedAt: index, Permanent: permanent, Instance: replica.Instance, Born: replica.StartedAt}
	s.contents.Tombstones = append(s.contents.Tombstones, left)
	s.index.addTombstone(left)
	if surplus := len(s.contents.Tombstones) - maxTombstones; surplus > 0 {
		for _, old := range s.contents.Tombstones[:surplus] {
			s.index.removeTombstone(old)
		}
		s.contents.Tombstones = slices.Clone(s.contents.Tombstones[surplus:])
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
