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

// MethodCall carries a Request to any member, methodForwarded one to the leader.
const (
	MethodCall      = "site.call"
	methodForwarded = "site.forwarded"
)

const (
	// callTimeout limits a call; its callers wait about a second.
	callTimeout = 900 * time.Millisecond
	// leaderPollInterval is the time between checks for a leader.
	leaderPollInterval = 50 * time.Millisecond
)

// Request is a call to the control group; one field is set.
type Request struct {
	Command *sitestate.Command `cbor:"1,keyasint,omitempty"`
	// Replica is a replica's heartbeat, committed only if it changes anything.
	Replica *sitestate.Replica `cbor:"2,keyasint,omitempty"`
	// Read requests the current configuration.
	Read *ReadConfiguration `cbor:"3,keyasint,omitempty"`
	// Store is a store machine's heartbeat.
	Store *StoreHeartbeat `cbor:"4,keyasint,omitempty"`
	// Evacuate names a store machine to evacuate, Evacuation one whose state is requested.
	Evacuate   string `cbor:"5,keyasint,omitempty"`
	Evacuation string `cbor:"6,keyasint,omitempty"`
	// MemberReport is another member's periodic report to the leader.
	MemberReport *MemberReport `cbor:"7,keyasint,omitempty"`
	// Place requests the shard of a model's jobs.
	Place *PlaceModel `cbor:"8,keyasint,omitempty"`
	// Usage holds a front's counts; it is acknowledged once committed.
	Usage *usage.Report `cbor:"9,keyasint,omitempty"`
}

// MemberReport is a member's periodic report to the leader: the ids of replicas whose
// heartbeats it acknowledged, and how many processes watch it.
type MemberReport struct {
	Replicas []string `cbor:"1,keyasint"`
	Member   string   `cbor:"2,keyasint,omitempty"`
	Watchers int      `cbor:"3,keyasint,omitempty"`
	// ID is the member's id, Level the highest level that it supports.
	ID    consensus.MemberID `cbor:"4,keyasint,omitempty"`
	Level sitestate.Level    `cbor:"5,keyasint,omitempty"`
}

// ReadConfiguration requests the current configuration.
type ReadConfiguration struct{}

// StoreHeartbeat is the periodic report of a store machine.
type StoreHeartbeat struct {
	Store sitestate.Store `cbor:"1,keyasint"`
	// Members are the machines in the group of the store's shard. Like the fields below,
	// only the group's leader sets it.
	Members []string `cbor:"2,keyasint,omitempty"`
	// Complete is set if enough voters store all data.
	Complete bool `cbor:"3,keyasint,omitempty"`
	// Demand is the demand of jobs in events per second, by model.
	Demand map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Open is the recent maximum of concurrently open items, by model.
	Open map[string]int `cbor:"5,keyasint,omitempty"`
	// FreeSlots is how many further machines the group accepts.
	FreeSlots int `cbor:"6,keyasint,omitempty"`
	// Earlier are the incarnations of data folders that the machine's process had before. Every
	// machine sets it.
	Earlier []string `cbor:"7,keyasint,omitempty"`
}

// Answer is the response to a Request.
type Answer struct {
	Outcome       sitestate.Outcome       `cbor:"1,keyasint,omitempty"`
	Configuration sitestate.Configuration `cbor:"2,keyasint,omitempty"`
	// HeartbeatAddress is the preferred address for further heartbeats: that of the
	// member that accepted this one, which spreads them over the members.
	HeartbeatAddress string               `cbor:"3,keyasint,omitempty"`
	StoreState       sitestate.StoreState `cbor:"4,keyasint,omitempty"`
	// TooFew rejects an evacuation that would leave too few machines.
	TooFew bool `cbor:"5,keyasint,omitempty"`
	// NotLeader is set if the called member does not lead.
	NotLeader bool `cbor:"6,keyasint,omitempty"`
	// Join is the shard that a store machine without a group is to join; 0 if none.
	Join sitestate.ShardNumber `cbor:"7,keyasint,omitempty"`
	// Shard is the shard of the model in PlaceModel.
	Shard sitestate.ShardNumber `cbor:"8,keyasint,omitempty"`
	// Pause is the time that a front is to wait before its next report of usage.
	Pause time.Duration `cbor:"9,keyasint,omitempty"`
}

// checkSize returns an error for a command that no log entry can hold.
func (r *Request) checkSize() error {
	if r.Command == nil || r.Command.Configuration == nil || len(r.Command.Configuration.Raw) <= consensus.MaxEntryBytes {
		return nil
	}
	return tooLarge(len(r.Command.Configuration.Raw))
}

func tooLarge(bytes int) *port.Error {
	return port.NewError(port.NotRun, port.CodeTooLarge, "the command takes %d bytes to store, at most %d are possible", bytes, consensus.MaxEntryBytes)
}

// Call serves a request on this member or on the leader. Errors are *port.Error.
func (c *Control) Call(ctx context.Context, request Request) (Answer, error) {
	if err := request.checkSize(); err != nil {
		return Answer{}, err
	}
	if request.Replica != nil {
		c.dropUnusedWarmup(request.Replica)
	}
	if request.Replica != nil && c.heartbeats.acceptUnchanged(*request.Replica) {
		return Answer{HeartbeatAddress: c.config.HeartbeatAddress}, nil
	}
	if request.Replica != nil {
		accepted, err := c.heartbeats.acceptReady(*request.Replica)
		if accepted || err != nil {
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
		if err != nil && !retryable(err) {
			return Answer{}, err
		}
		select {
		case <-time.After(leaderPollInterval):
		case <-ctx.Done():
			return Answer{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "no leader of the control group answered in time")
		}
	}
}

// retryable reports whether to retry a call that failed with err. All calls here are
// idempotent.
func retryable(err error) bool {
	code := wire.CodeOf(err)
	return code == port.CodeUnavailable || code == port.CodeDraining || code == ""
}

// callOnce serves a request here if this member leads, else on the leader.
func (c *Control) callOnce(ctx context.Context, request Request) (Answer, error) {
	published := c.member.PublishedState()
	if published == nil {
		return Answer{NotLeader: true}, nil
	}
	if published.Leader.ID == published.Status.ID {
		return c.serveAsLeader(ctx, request)
	}
	if published.Leader.Address == "" || !published.Status.QuorumActive {
		return Answer{NotLeader: true}, nil
	}
	if request.Replica != nil {
		return c.reports.forward(ctx, *request.Replica)
	}
	var answer Answer
	err := c.forward(ctx, published.Leader.Address, request, &answer)
	return answer, err
}

// serveAsLeader serves a request as the leader.
func (c *Control) serveAsLeader(ctx context.Context, request Request) (Answer, error) {
	answer, err := c.serve(ctx, request)
	var notLeader *group.NotLeaderError
	var rejected *port.Error
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &rejected):
		return Answer{}, rejected
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
		return c.heartbeats.accept(ctx, *request.Replica)
	case request.MemberReport != nil:
		c.heartbeats.recordMemberReport(*request.MemberReport)
		return Answer{}, nil
	case request.Read != nil:
		return c.readConfiguration(ctx)
	case request.Store != nil:
		return c.stores.accept(ctx, *request.Store)
	case request.Place != nil:
		return c.stores.place(ctx, *request.Place)
	case request.Usage != nil:
		return c.usage.accept(ctx, *request.Usage)
	case request.Evacuate != "":
		return c.stores.evacuate(ctx, request.Evacuate)
	case request.Evacuation != "":
		return c.stores.evacuationState(ctx, request.Evacuation)
	default:
		return Answer{}, port.NewError(port.NotRun, port.CodeInvalid, "empty request")
	}
}

// propose commits a command and returns its outcome. It returns an error if the members cannot apply
// the command.
func (c *Control) propose(ctx context.Context, command sitestate.Command) (sitestate.Outcome, error) {
	data, err := command.Encode()
	if err != nil {
		return 0, port.NewError(port.NotRun, port.CodeTooLarge, "the command cannot be stored: %v", err)
	}
	result, err := c.member.Propose(ctx, data)
	if errors.Is(err, consensus.ErrTooLarge) {
		return 0, tooLarge(len(data))
	}
	if err != nil {
		return 0, err
	}
	return outcomeOf(result)
}

// outcomeOf returns the outcome of a command from its result in the log. A command of a kind that the
// build of the leader doesn't know may succeed once that is updated.
func outcomeOf(result any) (sitestate.Outcome, error) {
	outcome, known := result.(sitestate.Outcome)
	switch {
	case !known:
		return 0, port.NewError(port.NotRun, port.CodeInvalid, "the members cannot apply the command: %v", result)
	case outcome == sitestate.OutcomeMalformed:
		return 0, port.NewError(port.NotRun, port.CodeInternal, "the members cannot decode the command, or do not know its kind")
	default:
		return outcome, nil
	}
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

// serveCall serves a call from another process of the site.
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

// serveForwarded serves a call from a member that considers this one the leader.
func (c *Control) serveForwarded(ctx context.Context, call *wire.Call) error {
	var request Request
	if err := call.Decode(&request); err != nil {
		return err
	}
	answer, err := c.serveAsLeader(ctx, request)
	if err != nil {
		return err
	}
	return call.Send(answer)
}
