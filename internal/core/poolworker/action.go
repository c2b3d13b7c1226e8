package poolworker

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Action is something the caller carries out. The types below implement it.
type Action interface{ action() }

// Propose sends a command to the control log. The caller passes the result to Answered
// with the same Token, within Timeout.
type Propose struct {
	Token   uint64
	Command port.Command
	Timeout time.Duration
}

// AskHomes polls the home nodes of an engine pool's replicas and sends them the
// replicas that a rollout excludes from routing. StatesPolled takes the result.
type AskHomes struct {
	Pool  port.PoolName
	Fence port.Epoch
	Out   []port.ReplicaID
}

// Order sends an order to an engine. OrderAnswered takes the result.
type Order struct {
	Rollout port.PoolName
	Send    rollout.SendOrder
}

// Coordinate carries out an action of the coordinator that the worker doesn't turn
// into Propose, Record or Ended. Sampling holds the current settings.
type Coordinate struct {
	Action   coordinator.Action
	Sampling port.Sampling
}

// Record stores a decision for explain.
type Record struct{ Decision port.Decision }

// PolicyRefused reports a policy program that doesn't compile. The previous program
// stays in use.
type PolicyRefused struct{ Err error }

// Ended reports that the worker ended. Cause is nil when the lease was lost or
// released.
type Ended struct{ Cause error }

func (Propose) action()       {}
func (AskHomes) action()      {}
func (Order) action()         {}
func (Coordinate) action()    {}
func (Record) action()        {}
func (PolicyRefused) action() {}
func (Ended) action()         {}
