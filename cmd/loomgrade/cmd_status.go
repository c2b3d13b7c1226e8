package main

import (
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
)

// statusCommand shows the state of the control group.
type statusCommand struct {
	operatorFlags `embed:""`
}

// Run prints the state of the group as one member sees it.
func (c *statusCommand) Run(std streams) error {
	return query(&c.operatorFlags, std, (*operatorapi.Client).Status, showStatus)
}

func showStatus(lines *table, status operatorapi.Status) {
	lines.row("asked member", status.Member, status.Role)
	lines.row("leader", status.Leader, "term", status.Term)
	lines.row("in touch with a quorum", status.QuorumActive)
	lines.row("log", "committed", status.Commit, "applied", status.Applied, "snapshot", status.SnapshotIndex)
	lines.row("configuration revision", status.Revision)
	lines.row("nodes", status.Nodes, "watching this member", status.Watches)
	showMemberColumns(lines)
	for _, member := range status.Members {
		if status.Leader == status.Member || member.ID == status.Member {
			showMember(lines, member)
			continue
		}
		// Only the leader knows the progress of the other members.
		lines.row(member.ID, member.Address, member.Role, member.Leader, "-", "-", "-", "-")
	}
}
