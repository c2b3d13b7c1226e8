package nodestate

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// report tells control about this node when it is time.
func (s *State) report(now time.Time) {
	if now.Sub(s.lastReport) < s.config.Report {
		return
	}
	s.lastReport = now
	view := s.observer.View()
	s.output.Report = &port.NodeReport{
		Node: port.NodeAddress{
			ID: s.config.Self, Zone: s.config.Zone,
			PeerAddress: s.config.PeerAddress, HTTPAddress: s.config.HTTPAddress, Draining: s.draining,
		},
		Position: view.Position,
		Revision: view.Revision,
		Serving:  s.serving(now),
	}
}

// serving counts the own home replicas by pool and version.
func (s *State) serving(now time.Time) []port.ServingCount {
	var counts []port.ServingCount
	for _, held := range s.records {
		if !held.Polled {
			continue
		}
		version := held.Version(now)
		index := slices.IndexFunc(counts, func(count port.ServingCount) bool {
			return count.Pool == held.Replica.Pool && count.Version == version
		})
		if index < 0 {
			counts = append(counts, port.ServingCount{Pool: held.Replica.Pool, Version: version})
			index = len(counts) - 1
		}
		counts[index].Replicas++
	}
	slices.SortFunc(counts, func(a, b port.ServingCount) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	return counts
}
