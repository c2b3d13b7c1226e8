package controlclient

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Methods of control members for nodes.
const (
	// MethodPropose takes a port.Command and returns a port.Result.
	MethodPropose = "control.propose"
	// MethodWatch takes a WatchRequest and streams port.ViewUpdate.
	MethodWatch = "control.watch"
	// MethodReport takes a port.NodeReport and returns nothing.
	MethodReport = "control.report"
)

// HeartbeatInterval is the interval of updates on an idle watch, which confirm that the
// member is in contact with a quorum.
const HeartbeatInterval = time.Second

// WatchRequest requests the updates after a position.
type WatchRequest struct {
	// After is the observer's position; 0 requests a full view.
	After uint64 `cbor:"1,keyasint"`
	// Node identifies the observer in logs.
	Node port.NodeID `cbor:"2,keyasint,omitempty"`
}
