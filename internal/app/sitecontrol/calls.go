package sitecontrol

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/internal/port"
)

// MethodCall takes a Request to a member; methodForwarded to the leader.
const (
	MethodCall      = "site.call"
	methodForwarded = "site.forwarded"
)

const (
	// callTimeout bounds a call: its callers wait about a second.
	callTimeout = 900 * time.Millisecond
	// leaderPause is the time between looks for a leader.
	leaderPause = 50 * time.Millisecond
)

// Request is a call to the control group; one field is set.
type Request struct {
	Command *sitestate.Command `cbor:"1,keyasint,omitempty"`
	// Replica is a heartbeat, logged only if it changes anything.
	Replica *sitestate.Replica `cbor:"2,keyasint,omitempty"`
	// Read asks for the configuration in force.
	Read *ReadConfiguration `cbor:"3,keyasint,omitempty"`
	// Store is a store machine's heartbeat.
	Store *StoreHeartbeat `cbor:"4,keyasint,omitempty"`
	// Evacuate asks to empty a store machine, Evacuation how that stands.
	Evacuate   string `cbor:"5,keyasint,omitempty"`
	Evacuation string `cbor:"6,keyasint,omitempty"`
	// Heard tells the leader of replicas that another member heard of.
	Heard *Heard `cbor:"7,keyasint,omitempty"`
	// Place asks which shard keeps a model's jobs.
	Place *PlaceModel `cbor:"8,keyasint,omitempty"`
	// Usage is what a front counted; it is answered once it is kept.
	Usage *usage.Report `cbor:"9,keyasint,omitempty"`
}

// Heard is what a member tells the leader now and then: the ids of replicas whose heartbeats
// it acknowledged, and how many processes watch it.
type Heard struct {
	Replicas []string `cbor:"1,keyasint"`
	Member   string   `cbor:"2,keyasint,omitempty"`
	Watchers int      `cbor:"3,keyasint,omitempty"`
	// ID is the member's, and Level the one that it knows.
	ID    consensus.MemberID `cbor:"4,keyasint,omitempty"`
	Level sitestate.Level    `cbor:"5,keyasint,omitempty"`
}

// ReadConfiguration asks for the configuration in force.
type ReadConfiguration struct{}

// StoreHeartbeat is what a store machine reports.
type StoreHeartbeat struct {
	Store sitestate.Store `cbor:"1,keyasint"`
	// Members are the machines in the group of the store's shard, as its leader sees
	// it; only the leader reports them.
	Members []string `cbor:"2,keyasint,omitempty"`
	// Whole is set if enough of them hold everything.
	Whole bool `cbor:"3,keyasint,omitempty"`
	// Demand is the work that jobs bring, in events a second by model; only the
	// leader reports it.
	Demand map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Open is the most items that were open at once of late, by model; only the
	// leader reports it.
	Open map[string]int `cbor:"5,keyasint,omitempty"`
	// Vacant is how many further machines the group takes in; only the leader
	// reports it.
	Vacant int `cbor:"6,keyasint,omitempty"`
}

// Answer answers a Request.
type Answer struct {
	Outcome       sitestate.Outcome       `cbor:"1,keyasint,omitempty"`
	Configuration sitestate.Configuration `cbor:"2,keyasint,omitempty"`
	// HeartbeatAddress is where further heartbeats are best sent: to the member
	// that took this one, so that the members share them.
	HeartbeatAddress string               `cbor:"3,keyasint,omitempty"`
	StoreState       sitestate.StoreState `cbor:"4,keyasint,omitempty"`
	// TooFew refuses an evacuation after which too few machines would stay.
	TooFew bool `cbor:"5,keyasint,omitempty"`
	// Leader is set if the asked member does not lead.
	NotLeader bool `cbor:"6,keyasint,omitempty"`
	// Join tells a store machine that is in no group which shard's it is to join; 0
	// for none.
	Join sitestate.ShardNumber `cbor:"7,keyasint,omitempty"`
	// Shard answers PlaceModel.
	Shard sitestate.ShardNumber `cbor:"8,keyasint,omitempty"`
	// Pause answers a report of usage: the next one is best sent after it.
	Pause time.Duration `cbor:"9,keyasint,omitempty"`
}

// Call serves a request at this member or at the leader. Errors are
// *port.Error.
func (c *Control) Call(ctx context.Context, request Request) (Answer, error) {
	if request.Replica != nil {
		c.ignoreUnboundedWarmup(request.Replica)
	}
	if request.Replica != nil && c.heartbeats.takeHere(*request.Replica) {
		return Answer{HeartbeatAddress: c.config.HeartbeatAddress}, nil
	}
	if request.Replica != nil {
		taken, err := c.heartbeats.takeOn(*request.Replica)
		if taken || err != nil {
			return Answer{HeartbeatAddress: c.config.HeartbeatAddress}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		answer, err := c.callOnce(ctx, request)
		if err == nil && !answer.NotLeader {
			answer.HeartbeatAddress = c.config.HeartbeatAddress
			return answer, nil
		}
		if err != nil && !mayRepeat(err) {
			return Answer{}, err
		}
		select {
		case <-time.After(leaderPause):
		case <-ctx.Done():
			return Answer{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "no leader of the control group answered in time")
		}
	}
}

// mayRepeat reports whether a call is worth another try: every call here is
// safe to repeat.
func mayRepeat(err error) bool {
	code := wire.CodeOf(err)
	return code == port.CodeUnavailable || code == port.CodeDraining || code == ""
}

// callOnce serves a request here if this member leads, else at the leader.
func (c *Control) callOnce(ctx context.Context, request Request) (Answer, error) {
	shown := c.member.PublishedState()
	if shown == nil {
		return Answer{NotLeader: true}, nil
	}
	if shown.Leader.ID == shown.Status.ID {
		return c.serveHere(ctx, request)
	}
	if shown.Leader.Address == "" || !shown.Status.QuorumActive {
		return Answer{NotLeader: true}, nil
	}
	if request.Replica != nil {
		return c.reports.forward(ctx, *request.Replica)
	}
	var answer Answer
	err := c.forward(ctx, shown.Leader.Address, request, &answer)
	return answer, err
}

// serveHere serves a request as the leader.
func (c *Control) serveHere(ctx context.Context, request Request) (Answer, error) {
	answer, err := c.serve(ctx, request)
	var notLeader *group.NotLeaderError
	var refused *port.Error
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &refused):
		return Answer{}, refused
	case errors.As(err, &notLeader), errors.Is(err, group.ErrNotReady), errors.Is(err, groupmember.ErrProposalReplaced):
		return Answer{NotLeader: true}, nil
	default:
		return Answer{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "%v", err)
	}
}

func (c *Control) serve(ctx context.Context, request Request) (Answer, error) {
	switch {
	case request.Command != nil && request.Command.Leave != nil:
		return c.heartbeats.leave(ctx, *request.Command.Leave)
	case request.Command != nil && request.Command.Drain != nil:
		return c.drainZone(ctx, *request.Command.Drain)
	case request.Command != nil:
		outcome, err := c.propose(ctx, *request.Command)
		return Answer{Outcome: outcome}, err
	case request.Replica != nil:
		return c.heartbeats.take(ctx, *request.Replica)
	case request.Heard != nil:
		c.heartbeats.noteHeard(*request.Heard)
		return Answer{}, nil
	case request.Read != nil:
		return c.readConfiguration(ctx)
	case request.Store != nil:
		return c.stores.take(ctx, *request.Store)
	case request.Place != nil:
		return c.stores.place(ctx, *request.Place)
	case request.Usage != nil:
		return c.usage.take(ctx, *request.Usage)
	case request.Evacuate != "":
		return c.stores.evacuate(ctx, request.Evacuate)
	case request.Evacuation != "":
		return c.stores.evacuation(ctx, request.Evacuation)
	default:
		return Answer{}, port.NewError(port.NotRun, port.CodeInvalid, "empty request")
	}
}

// propose puts a command through the log.
func (c *Control) propose(ctx context.Context, command sitestate.Command) (sitestate.Outcome, error) {
	data, err := command.Encode()
	if err != nil {
		return 0, err
	}
	result, err := c.member.Propose(ctx, data)
	if err != nil {
		return 0, err
	}
	outcome, _ := result.(sitestate.Outcome)
	return outcome, nil
}

func (c *Control) readConfiguration(ctx context.Context) (Answer, error) {
	var answer Answer
	err := c.member.Read(ctx, func(machine groupmember.StateMachine) {
		answer.Configuration = machine.(*sitestate.State).Configuration()
	})
	return answer, err
}

func (c *Control) forward(ctx context.Context, address string, request Request, answer *Answer) error {
	return c.pool.Client(address).Call(ctx, methodForwarded, request, answer)
}

// serveCall answers a process of the site.
func (c *Control) serveCall(ctx context.Context, call *wire.Call) error {
	var request Request
	if err := call.Decode(&request); err != nil {
		return err
	}
	answer, err := c.Call(ctx, request)
	if err != nil {
		return err
	}
	return call.Send(answer)
}

// serveForwarded answers another member, which takes this one for the leader.
func (c *Control) serveForwarded(ctx context.Context, call *wire.Call) error {
	var request Request
	if err := call.Decode(&request); err != nil {
		return err
	}
	answer, err := c.serveHere(ctx, request)
	if err != nil {
		return err
	}
	return call.Send(answer)
}
