package poolworker

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Action is an instruction to the caller; the types below implement it.
type Action interface{ action() }

// Propose sends a command to the control log. The caller passes the result to ProposalAnswered
// with the same Token, within Timeout.
type Propose struct {
	Token   uint64
	Command port.Command
	Timeout time.Duration
}

// PollHomes polls the home nodes of an engine pool's replicas and sends them the
// replicas that a rollout excludes from routing. The caller passes the result to
// StatesPolled.
type PollHomes struct {
	Pool     port.PoolName
	Fence    port.Epoch
	Excluded []port.ReplicaID
}

// Order sends an order to an engine. The caller passes the result to OrderAnswered.
type Order struct {
	Rollout port.PoolName
	Send    rollout.SendOrder
}

// CoordinatorAction carries out an action of the coordinator that the worker does not
// handle itself. Sampling holds the current settings.
type CoordinatorAction struct {
	Action   coordinator.Action
	Sampling port.Sampling
}

// Record stores a decision for the explain command.
type Record struct{ Decision port.Decision }

// PolicyRejected reports a policy program that doesn't compile. The previous program
// stays in use.
type PolicyRejected struct{ Err error }

// Ended reports that the worker ended. Cause is nil when the lease was lost or
// released.
type Ended struct{ Cause error }

func (Propose) action()           {}
func (PollHomes) action()         {}
func (Order) action()             {}
func (CoordinatorAction) action() {}
func (Record) action()            {}
func (PolicyRejected) action()    {}
func (Ended) action()             {}
