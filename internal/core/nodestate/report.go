package nodestate

import (
	"maps"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

// report sends a node report to the control service when one is due.
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
		Serving:  home.ServingCounts(now, view.Configuration.Pools, maps.Values(s.records)),
	}
}
