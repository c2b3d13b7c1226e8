package sitestate

import "github.com/loomgrade/loomgrade/internal/core/quarantine"

// Suspects gives all requests under which replicas ended. The caller must not change them.
func (s *State) Suspects() []quarantine.Suspect { return s.contents.Quarantine.Suspects }

// noteQuarantine takes in what processes saw.
func (s *State) noteQuarantine(index uint64, noted Quarantine) Outcome {
	outcome := OutcomeIgnored
	for _, event := range noted.Events {
		changed, taken := s.contents.Quarantine.Apply(event)
		if changed {
			s.contents.QuarantineAt = index
			s.changed(index)
		}
		outcome = OutcomeIgnored
		if taken {
			outcome = OutcomeDone
		}
	}
	return outcome
}
