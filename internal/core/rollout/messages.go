package rollout

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Event is an input of the state machine; the types below implement it.
type Event interface{ event() }

// Tick advances time. Send it every 100 to 500 milliseconds.
type Tick struct{}

// Published reports a published version of the pool's weights.
type Published struct{ Weights port.PublishedWeights }

// OrderAnswered reports the outcome of SendOrder: the engine's report, or Err.
type OrderAnswered struct {
	Replica port.ReplicaID
	Order   port.Order
	Report  port.LoadReport
	Err     *port.Error
}

// LoadReported carries a replica's load report.
type LoadReported struct {
	Replica port.ReplicaID
	Report  port.LoadReport
}

// ReplicasChanged lists the replicas of the rollout. A replica that is unreachable or
// leaving is listed with Reachable false or not at all; the rollout does not wait for it.
type ReplicasChanged struct{ Replicas []Replica }

// Replica is the state of a replica as seen by its home node.
type Replica struct {
	ID        port.ReplicaID
	Reachable bool
}

// Action is an instruction to the caller; the types below implement it.
type Action interface{ action() }

// SendOrder sends a fenced order to an engine. The caller answers with OrderAnswered.
type SendOrder struct {
	Replica port.ReplicaID
	Order   port.Order
	// Repeat is set if the engine accepted the same order before and it is sent again to
	// learn the current state.
	Repeat bool
}

// RouteOut removes a replica from routing because its version is unknown.
type RouteOut struct{ Replica port.ReplicaID }

// RouteIn returns a replica to routing; it serves Version.
type RouteIn struct {
	Replica port.ReplicaID
	Version port.WeightVersion
}

// Completed reports that every reachable replica serves the version.
type Completed struct {
	Version port.WeightVersion
	// Replicas is the number of replicas that serve it.
	Replicas int
	// Duration is the time since the publication was received, Switch the time since the
	// activation started.
	Duration time.Duration
	Switch   time.Duration
}

// FencedOff reports that an engine has seen a higher fence. The rollout has stopped.
type FencedOff struct {
	Replica port.ReplicaID
	Fence   port.Epoch
}

// Record stores a decision for the explain command.
type Record struct{ Decision port.Decision }

func (Tick) event()            {}
func (Published) event()       {}
func (OrderAnswered) event()   {}
func (LoadReported) event()    {}
func (ReplicasChanged) event() {}

func (SendOrder) action() {}
func (RouteOut) action()  {}
func (RouteIn) action()   {}
func (Completed) action() {}
func (FencedOff) action() {}
func (Record) action()    {}
