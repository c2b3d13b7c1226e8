package rollout

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Event is something that happened; the types below implement it.
type Event interface{ event() }

// Tick lets time pass. Send it every 100 to 500 milliseconds.
type Tick struct{}

// Published tells of a version of the pool's weights.
type Published struct{ Weights port.PublishedWeights }

// OrderAnswered gives the outcome of SendOrder: the engine's report, or Err.
type OrderAnswered struct {
	Replica port.ReplicaID
	Order   port.Order
	Report  port.LoadReport
	Err     *port.Error
}

// LoadReported brings a replica's load report.
type LoadReported struct {
	Replica port.ReplicaID
	Report  port.LoadReport
}

// ReplicasChanged lists the replicas to bring up to date. One that is not
// reachable or is leaving is listed with Reachable false, or left out; nothing
// waits for it.
type ReplicasChanged struct{ Replicas []Replica }

// Replica is one replica as its home sees it.
type Replica struct {
	ID        port.ReplicaID
	Reachable bool
}

// Action is something the caller carries out; the types below implement it.
type Action interface{ action() }

// SendOrder sends a fenced order to an engine; OrderAnswered answers it.
type SendOrder struct {
	Replica port.ReplicaID
	Order   port.Order
	// Again says that the same order was accepted before and is repeated to
	// learn how far it is.
	Again bool
}

// RouteOut takes a replica out of routing: what it serves is not known.
type RouteOut struct{ Replica port.ReplicaID }

// RouteIn puts it back: it serves Version.
type RouteIn struct {
	Replica port.ReplicaID
	Version port.WeightVersion
}

// Completed says that every reachable replica serves the version.
type Completed struct {
	Version port.WeightVersion
	// Replicas counts those that serve it.
	Replicas int
	// Duration is from when the publication was heard; Switch from the first
	// activation order.
	Duration time.Duration
	Switch   time.Duration
}

// FencedOff says that an engine has seen a higher fence. The rollout is over.
type FencedOff struct {
	Replica port.ReplicaID
	Fence   port.Epoch
}

// Record keeps a decision for explain.
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
