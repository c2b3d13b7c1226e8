package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

// PollInterval returns the time between two polls of an engine that this node is the
// home of: the interval that the byte budget allows, or the minimum while the
// replica's state changes or it is ejected or probed.
func (s *State) PollInterval(now time.Time, id port.ReplicaID) time.Duration {
	record := s.records[id]
	if record == nil || record.NeedsFastPolls(now) || s.unhealthy(record) {
		return s.config.Load
	}
	return home.PollInterval(s.config.Load, s.polledEngines(), home.PollBytes, home.PollBudget)
}

// unhealthy reports whether the replica is ejected or probed.
func (s *State) unhealthy(record *home.Record) bool {
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
