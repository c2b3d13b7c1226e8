package poolworker

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Action is something the caller carries out; the types below implement it.
type Action interface{ action() }

// Propose sends a command to the control log; Answered with the same Token
// answers it, within Timeout.
type Propose struct {
	Token   uint64
	Command port.Command
	Timeout time.Duration
}

// AskHomes asks the homes of an engine pool for their replicas, and tells them
// which ones a rollout keeps out of routing; StatesPolled answers it.
type AskHomes struct {
	Pool  port.PoolName
	Fence port.Epoch
	Out   []port.ReplicaID
}

// Order sends an order to an engine; OrderAnswered for the same rollout answers
// it.
type Order struct {
	Rollout port.PoolName
	Send    rollout.SendOrder
}

// Coordinate carries out an action of the coordinator other than those that the
// worker turns into Propose, Record and Ended. Sampling holds the settings in
// force.
type Coordinate struct {
	Action   coordinator.Action
	Sampling port.Sampling
}

// Record keeps a decision for explain.
type Record struct{ Decision port.Decision }

// PolicyRefused says that a policy program doesn't compile; the one in force
// stays.
type PolicyRefused struct{ Err error }

// Ended says that the worker is done. Cause is nil when the lease was lost or
// given back.
type Ended struct{ Cause error }

func (Propose) action()       {}
func (AskHomes) action()      {}
func (Order) action()         {}
func (Coordinate) action()    {}
func (Record) action()        {}
func (PolicyRefused) action() {}
func (Ended) action()         {}
