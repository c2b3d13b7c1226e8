package sitestate

import "slices"

// reportReplica takes a replica's report. One that left stays out, one that
// drains stays draining, and a late report changes nothing.
func (s *State) reportReplica(index uint64, report Replica) Outcome {
	if s.index.binding[report.ID] {
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
	s.forgetGone(report.ID)
	s.dropAddress(index, report)
	s.put(index, report)
	s.changed(index)
	return OutcomeDone
}

// put replaces what is held of a replica.
func (s *State) put(index uint64, replica Replica) {
	replica.ChangedAt = index
	if held, known := s.contents.Replicas[replica.ID]; known {
		s.index.dropAddress(held)
	}
	s.contents.Replicas[replica.ID] = replica
	s.index.note(replica, s.contents.Replicas)
}

// dropAddress takes out other replicas whose address the reporter now has.
func (s *State) dropAddress(index uint64, reporter Replica) {
	other, taken := s.contents.Replicas[s.index.byAddress[reporter.Address]]
	if taken && other.ID != reporter.ID {
		s.remove(index, other, true)
	}
}

func (s *State) forgetGone(id string) {
	if !s.index.gone[id] {
		return
	}
	delete(s.index.gone, id)
	s.contents.Gone = slices.DeleteFunc(s.contents.Gone, func(left gone) bool { return left.ID == id })
}

// leave takes a replica out: for good, unless it was only not heard of and had
// not begun to drain.
func (s *State) leave(index uint64, left Leave) Outcome {
	held, known := s.contents.Replicas[left.ID]
	if left.Silent && !known {
		return OutcomeIgnored
	}
	if s.index.binding[left.ID] {
		return OutcomeDone
	}
	if !known {
		held = Replica{ID: left.ID, Instance: left.Instance, Born: left.Born}
	}
	s.remove(index, held, !left.Silent || held.State == ReplicaDraining)
	s.changed(index)
	return OutcomeDone
}

// remove takes out a replica, or notes of one that is not held that it left.
func (s *State) remove(index uint64, replica Replica, binding bool) {
	id := replica.ID
	if held, known := s.contents.Replicas[id]; known {
		s.index.dropAddress(held)
		delete(s.contents.Replicas, id)
	}
	s.forgetGone(id)
	left := gone{ID: id, ChangedAt: index, Binding: binding, Instance: replica.Instance, Born: replica.Born}
	s.contents.Gone = append(s.contents.Gone, left)
	s.index.noteGone(left)
	if surplus := len(s.contents.Gone) - maxGone; surplus > 0 {
		for _, old := range s.contents.Gone[:surplus] {
			s.index.forgetGone(old)
		}
		s.contents.Gone = slices.Clone(s.contents.Gone[surplus:])
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
		s.changed(index)
	}
	return OutcomeDone
}
