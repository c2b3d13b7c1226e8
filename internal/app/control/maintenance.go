package control

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	maintenanceInterval = time.Second
	// connectsPerElectionTimeout is the number of connection checks per election timeout.
	connectsPerElectionTimeout = 4
)

// runMaintenance runs the periodic tasks: it updates the addresses of the members and,
// on the leader, removes timed-out nodes from the view.
func (m *Member) runMaintenance(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var timeouts controlmember.NodeTimeouts
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		m.updateAddresses(ctx)
		published := m.loop().published.Load()
		if published.status.Role != consensus.RoleLeader || !published.status.QuorumActive {
			timeouts.Reset()
			continue
		}
		m.removeTimedOut(ctx, &timeouts, published.view)
	}
}

// keepConnected keeps connections to the other members open.
func (m *Member) keepConnected(ctx context.Context) error {
	ticker := time.NewTicker(m.config.electionTimeout() / connectsPerElectionTimeout)
	defer ticker.Stop()
	for {
		var others []consensus.MemberID
		for _, id := range m.loop().published.Load().status.Membership.Members() {
			if uint64(id) != m.config.ID {
				others = append(others, id)
			}
		}
		m.peers.connect(others)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateAddresses copies the member addresses from the log to peers.
func (m *Member) updateAddresses(ctx context.Context) {
	_ = m.inLoop(ctx, func(l *loop) {
		for _, id := range l.member.Status().Membership.Members() {
			if address, known := l.member.State().MemberAddress(uint64(id)); known {
				m.peers.setAddress(id, address)
			}
		}
	})
}

// removeTimedOut proposes the removal of timed-out nodes. The next report of a node
// registers it again.
func (m *Member) removeTimedOut(ctx context.Context, timeouts *controlmember.NodeTimeouts, view *port.View) {
	reports := m.gatherReports(ctx)
	ages := make(map[port.NodeID]time.Duration, len(reports.Nodes))
	for _, report := range reports.Nodes {
		ages[report.Report.Node.ID] = time.Duration(report.AgeMillis) * time.Millisecond
	}
	for _, id := range timeouts.TimedOut(view.Nodes, ages, time.Now(), m.config.NodeTimeout) {
		attempt, cancel := context.WithTimeout(ctx, controlclient.DefaultAttemptTimeout)
		_, err := m.propose(attempt, port.Command{RemoveNode: &port.RemoveNode{ID: id}}, true)
		cancel()
		m.config.Logger.Warn().Str("node", string(id)).Err(err).Msg("removed a timed-out node from the view")
	}
}
