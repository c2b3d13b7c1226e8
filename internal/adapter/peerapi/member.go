package peerapi

import "github.com/loomgrade/loomgrade/internal/adapter/operatorapi"

// Methods that control members serve to each other.
const (
	// MethodConsensus is one-way and carries a consensus.Message.
	MethodConsensus = "member.consensus"
	// MethodForward takes a port.Command to the leader, which does not forward it
	// further, and answers a port.Result.
	MethodForward = "member.forward"
	// MethodReports takes Empty and answers ReportsAnswer.
	MethodReports = "member.reports"
)

// Empty is a request or answer without contents.
type Empty struct{}

// ReportsAnswer holds the node reports that a member received.
type ReportsAnswer struct {
	Nodes []operatorapi.NodeReport `cbor:"1,keyasint"`
}
