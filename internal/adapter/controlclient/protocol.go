package controlclient

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Methods that a control member serves to nodes.
const (
	// MethodPropose takes a port.Command and answers a port.Result.
	MethodPropose = "control.propose"
	// MethodWatch takes a WatchRequest and streams port.ViewUpdate.
	MethodWatch = "control.watch"
	// MethodReport takes a port.NodeReport and answers nothing.
	MethodReport = "control.report"
)

// HeartbeatInterval is how often a member sends an update on a watch that has
// no news, to confirm that it is in touch with a quorum.
const HeartbeatInterval = time.Second

// WatchRequest asks for updates after a position.
type WatchRequest struct {
	// After is the observer's position; 0 asks for a full view.
	After uint64 `cbor:"1,keyasint"`
	// Node names the observer, for logs.
	Node port.NodeID `cbor:"2,keyasint,omitempty"`
}
