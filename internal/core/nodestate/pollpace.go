package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

// PollInterval gives the time between two polls of an own engine: as the budget
// for all of them allows, and the least one while the replica's state changes or
// its health is in doubt.
func (s *State) PollInterval(now time.Time, id port.ReplicaID) time.Duration {
	record := s.records[id]
	if record == nil || record.PollSoon(now) || s.doubted(record) {
		return s.config.Load
	}
	return home.PollInterval(s.config.Load, s.polledEngines(), home.PollBytes, home.PollBudget)
}

// doubted says whether the replica is ejected or probed.
func (s *State) doubted(record *home.Record) bool {
	tracker := s.trackers[record.Replica.Pool]
	return tracker != nil && tracker.State(record.Replica.ID) != ejection.Healthy
}

func (s *State) polledEngines() int {
	count := 0
	for _, record := range s.records {
		if record.Polled {
			count++
		}
	}
	return count
}
