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
	houseInterval = time.Second
	// connectsATimeout is how often in an election timeout the connections to
	// the other members are looked after.
	connectsATimeout = 4
)

// keepHouse does what no request asks for: it learns the addresses of members
// that joined, and as the leader takes silent nodes out of the view.
func (m *Member) keepHouse(ctx context.Context) error {
	ticker := time.NewTicker(houseInterval)
	defer ticker.Stop()
	var watcher controlmember.NodeTimeouts
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		m.learnAddresses(ctx)
		published := m.loop().published.Load()
		if published.status.Role != consensus.RoleLeader || !published.status.QuorumActive {
			watcher.Reset()
			continue
		}
		m.removeSilent(ctx, &watcher, published.view)
	}
}

// keepConnected keeps connections to the other members open.
func (m *Member) keepConnected(ctx context.Context) error {
	ticker := time.NewTicker(m.config.electionTimeout() / connectsATimeout)
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

// learnAddresses takes over the addresses of members that joined by the log.
func (m *Member) learnAddresses(ctx context.Context) {
	_ = m.inLoop(ctx, func(l *loop) {
		for _, id := range l.member.Status().Membership.Members() {
			if address, known := l.member.State().MemberAddress(uint64(id)); known {
				m.peers.learn(id, address)
			}
		}
	})
}

// removeSilent proposes the removal of silent nodes. A node that lives on is
// registered again by its next report.
func (m *Member) removeSilent(ctx context.Context, watcher *controlmember.NodeTimeouts, view *port.View) {
	reports := m.gatherReports(ctx)
	ages := make(map[port.NodeID]time.Duration, len(reports.Nodes))
	for _, report := range reports.Nodes {
		ages[report.Report.Node.ID] = time.Duration(report.AgeMillis) * time.Millisecond
	}
	for _, id := range watcher.TimedOut(view.Nodes, ages, time.Now(), m.config.NodeTimeout) {
		attempt, cancel := context.WithTimeout(ctx, controlclient.DefaultAttemptTimeout)
		_, err := m.propose(attempt, port.Command{RemoveNode: &port.RemoveNode{ID: id}}, true)
		cancel()
		m.config.Logger.Warn().Str("node", string(id)).Err(err).Msg("removed a silent node from the view")
	}
}
