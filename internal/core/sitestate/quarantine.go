package sitestate

import "github.com/loomgrade/loomgrade/internal/core/quarantine"

// Suspects returns all requests during which replicas crashed. The caller must not modify them.
func (s *State) Suspects() []quarantine.Suspect { return s.contents.Quarantine.Suspects }

// applyQuarantine applies events in order.
func (s *State) applyQuarantine(index uint64, reported Quarantine) Outcome {
	outcome := OutcomeIgnored
	for _, event := range reported.Events {
		changed, accepted := s.contents.Quarantine.Apply(event)
		if changed {
			s.contents.QuarantineAt = index
			s.advance(index)
		}
		outcome = OutcomeIgnored
		if accepted {
			outcome = OutcomeDone
		}
	}
	return outcome
}
