package main

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
)

// memberCommand groups the control member commands.
type memberCommand struct {
	List    memberListCommand    `cmd:"" help:"List control members."`
	Add     memberAddCommand     `cmd:"" help:"Add a control member as a learner, which has no vote."`
	Promote memberPromoteCommand `cmd:"" help:"Make a learner that has caught up a voter."`
	Remove  memberRemoveCommand  `cmd:"" help:"Take a control member out of the group for ever."`
}

// memberListCommand lists members.
type memberListCommand struct {
	operatorFlags `embed:""`
}

// Run lists the members as the queried member sees them.
func (c *memberListCommand) Run(std streams) error {
	return query(&c.operatorFlags, std, (*operatorapi.Client).Members, showMembers)
}

func showMembers(lines *table, members operatorapi.Members) {
	showMemberColumns(lines)
	for _, member := range members.Members {
		showMember(lines, member)
	}
}

func showMemberColumns(lines *table) {
	lines.row("MEMBER", "ADDRESS", "ROLE", "LEADER", "MATCH", "ACTIVE", "CAUGHT UP", "SILENT")
}

func showMember(lines *table, member operatorapi.Member) {
	lines.row(member.ID, member.Address, member.Role, member.Leader, member.Match, member.Active, member.CaughtUp, formatAge(member.SilentMillis))
}

// memberAddCommand adds a member.
type memberAddCommand struct {
	operatorFlags `embed:""`
	ID            uint64 `arg:"" help:"Id, above every one that was ever used."`
	Address       string `arg:"" help:"Peer address, IP:port."`
}

// Run adds the member.
func (c *memberAddCommand) Run(std streams) error {
	call := func(client *operatorapi.Client, ctx context.Context) (operatorapi.Members, error) {
		return client.AddMember(ctx, c.ID, c.Address)
	}
	return query(&c.operatorFlags, std, call, showMembers)
}

// memberPromoteCommand promotes a member.
type memberPromoteCommand struct {
	operatorFlags `embed:""`
	ID            uint64 `arg:"" help:"Id of a learner."`
}

// Run promotes the member.
func (c *memberPromoteCommand) Run(std streams) error {
	call := func(client *operatorapi.Client, ctx context.Context) (operatorapi.Members, error) {
		return client.PromoteMember(ctx, c.ID)
	}
	return query(&c.operatorFlags, std, call, showMembers)
}

// memberRemoveCommand removes a member.
type memberRemoveCommand struct {
	operatorFlags `embed:""`
	ID            uint64 `arg:"" help:"Id of the member."`
}

// Run removes the member.
func (c *memberRemoveCommand) Run(std streams) error {
	call := func(client *operatorapi.Client, ctx context.Context) (operatorapi.Members, error) {
		return client.RemoveMember(ctx, c.ID)
	}
	return query(&c.operatorFlags, std, call, showMembers)
}
