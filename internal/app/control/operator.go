package control

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

var _ operatorapi.Backend = (*Member)(nil)

// Propose implements operatorapi.Backend.
func (m *Member) Propose(ctx context.Context, command port.Command) (port.Result, error) {
	if err := m.checkStarted(); err != nil {
		return port.Result{}, err
	}
	return m.propose(ctx, command, false)
}

// View implements operatorapi.Backend.
func (m *Member) View(ctx context.Context, local bool) (*port.View, error) {
	if err := m.checkStarted(); err != nil {
		return nil, err
	}
	if local {
		return m.loop().published.Load().view, nil
	}
	var view *port.View
	if err := m.readState(ctx, func(member *controlmember.Member) { view = member.State().View() }); err != nil {
		return nil, err
	}
	return view, nil
}

// History implements operatorapi.Backend.
func (m *Member) History(ctx context.Context) ([]registry.HistoryEntry, error) {
	if err := m.checkStarted(); err != nil {
		return nil, err
	}
	var history []registry.HistoryEntry
	if err := m.readState(ctx, func(member *controlmember.Member) { history = member.State().History() }); err != nil {
		return nil, err
	}
	return history, nil
}

// Ledger implements operatorapi.Backend.
func (m *Member) Ledger(ctx context.Context, pool port.PoolName) (port.LedgerState, error) {
	if err := m.checkStarted(); err != nil {
		return port.LedgerState{}, err
	}
	var ledger port.LedgerState
	if err := m.readState(ctx, func(member *controlmember.Member) { ledger = member.State().Ledger(pool) }); err != nil {
		return port.LedgerState{}, err
	}
	return ledger, nil
}

// Reports implements operatorapi.Backend.
func (m *Member) Reports(ctx context.Context) (operatorapi.Reports, error) {
	if err := m.checkStarted(); err != nil {
		return operatorapi.Reports{}, err
	}
	return m.gatherReports(ctx), nil
}

// ChangeMember implements operatorapi.Backend.
func (m *Member) ChangeMember(ctx context.Context, change operatorapi.MemberChange) error {
	if err := m.checkStarted(); err != nil {
		return err
	}
	result, err := m.changeMember(ctx, change, false)
	if err != nil {
		return err
	}
	// The change is accepted; waiting for this member to apply it is best effort.
	if m.waitApplied(ctx, result.Index) == nil {
		m.updateAddresses(ctx)
	}
	return nil
}

// Status implements operatorapi.Backend.
func (m *Member) Status(_ context.Context) (operatorapi.Status, error) {
	if err := m.checkStarted(); err != nil {
		return operatorapi.Status{}, err
	}
	published := m.loop().published.Load()
	status := published.status
	return operatorapi.Status{
		Member:        m.config.ID,
		Role:          status.Role.String(),
		Leader:        uint64(status.Leader),
		Term:          status.Term,
		QuorumActive:  status.QuorumActive && m.config.Clock()-published.publishedAt < m.config.electionTimeout(),
		SilentMillis:  m.ticksToMillis(status.TicksSinceContact),
		Commit:        status.Commit,
		Applied:       published.applied,
		LastIndex:     status.LastIndex,
		SnapshotIndex: status.SnapshotIndex,
		Revision:      published.view.Revision,
		Position:      published.view.Position,
		Nodes:         len(published.view.Nodes),
		Watches:       m.watches.count(),
		Members:       m.members(status),
		Syncs:         published.syncs,
		Commits:       status.Commit,
	}, nil
}

// PeerTraffic returns the bytes on connections that nodes and members opened.
func (m *Member) PeerTraffic() (sent, received uint64) {
	totals := m.server.Totals()
	return totals.BytesOut, totals.BytesIn
}

func (m *Member) ticksToMillis(ticks uint64) int64 {
	return int64(ticks) * m.config.Tick.Milliseconds()
}

// members combines the membership with the leader's progress of each peer.
func (m *Member) members(status consensus.Status) []operatorapi.Member {
	progress := make(map[consensus.MemberID]consensus.PeerStatus, len(status.Progress))
	for _, peer := range status.Progress {
		progress[peer.ID] = peer
	}
	members := make([]operatorapi.Member, 0, len(status.Membership.Voters))
	for _, id := range status.Membership.Members() {
		line := operatorapi.Member{ID: uint64(id), Address: m.peers.address(id), Role: "learner", Leader: id == status.Leader}
		if status.Membership.IsVoter(id) {
			line.Role = "voter"
		}
		if peer, known := progress[id]; known {
			line.Match, line.Active, line.CaughtUp = peer.Match, peer.Active, peer.CaughtUp
			line.SilentMillis = m.ticksToMillis(peer.TicksSinceContact)
		}
		if uint64(id) == m.config.ID {
			line.Match, line.Active, line.CaughtUp = status.LastIndex, true, true
		}
		members = append(members, line)
	}
	return members
}
