package control

import (
	"fmt"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
)

// Methods that members serve to each other, besides those of controlclient.
const (
	// methodConsensus is one-way and carries a consensus.Message.
	methodConsensus = "member.consensus"
	// methodForward takes a port.Command to the leader, which does not pass it
	// on, and answers a port.Result.
	methodForward = "member.forward"
	// methodReadIndex asks the leader for a position to read at.
	methodReadIndex = "member.read_index"
	// methodChangeMember takes an operatorapi.MemberChange to the leader.
	methodChangeMember = "member.change_member"
	// methodReports asks what nodes reported to a member.
	methodReports = "member.reports"
	// methodFounding asks a member whether the group has been founded.
	methodFounding = "member.founding"
)

// empty is a request or answer without contents.
type empty struct{}

// readIndexAnswer is a position that shows every change accepted before.
type readIndexAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}

// reportsAnswer carries the reports that a member holds.
type reportsAnswer struct {
	Nodes []operatorapi.NodeReport `cbor:"1,keyasint"`
}

func memberName(id uint64) string { return fmt.Sprintf("member-%d", id) }
