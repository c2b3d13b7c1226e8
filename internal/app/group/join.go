package group

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

// joinRequest requests a member id. Record has no id yet.
type joinRequest struct {
	Record groupmember.Record `cbor:"1,keyasint"`
	Shard  Shard              `cbor:"2,keyasint,omitempty"`
}

// joinAnswer has the id, or the address of the leader to call instead.
type joinAnswer struct {
	ID      consensus.MemberID   `cbor:"1,keyasint,omitempty"`
	Records []groupmember.Record `cbor:"2,keyasint,omitempty"`
	Leader  string               `cbor:"3,keyasint,omitempty"`
}

var (
	// errGroupFull rejects a machine that is not needed.
	errGroupFull = eris.New("the group has as many members as it needs")
	// errOtherShard rejects a request for another shard's group.
	errOtherShard = eris.New("this member is of another shard")
)

// join requests an id from a shard's group, following redirects to the leader.
func (m *Member) join(ctx context.Context, incarnation string, shard Shard, contacts []string) (identity, error) {
	request := joinRequest{Record: m.config.Self, Shard: shard}
	request.Record.Incarnation = incarnation
	tried := map[string]bool{m.config.Self.Address: true}
	for len(contacts) > 0 {
		address := contacts[0]
		contacts = contacts[1:]
		if address == "" || tried[address] {
			continue
		}
		tried[address] = true
		answer, err := m.requestJoin(ctx, address, request)
		if err != nil {
			continue
		}
		if answer.ID != consensus.None {
			return identity{ID: answer.ID, Shard: shard, Records: answer.Records}, nil
		}
		contacts = slices.Insert(contacts, 0, answer.Leader)
		for _, record := range answer.Records {
			contacts = append(contacts, record.Address)
		}
	}
	return identity{}, eris.New("no contacted member could add this one")
}

func (m *Member) requestJoin(ctx context.Context, address string, request joinRequest) (joinAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answer joinAnswer
	err := m.peers.pool.Client(address).Call(ctx, m.config.Name+".join", request, &answer)
	return answer, err
}

// serveJoin adds the caller as a learner, if this member leads. A repeated request returns
// the same id.
func (m *Member) serveJoin(ctx context.Context, call *wire.Call) error {
	var request joinRequest
	if err := call.Decode(&request); err != nil {
		return err
	}
	if request.Record.Address == "" || request.Record.Incarnation == "" {
		return port.InvalidField("record", "", "an address and an incarnation")
	}
	answer, err := m.addLearner(ctx, request)
	if err != nil {
		return port.NewError(port.MayHaveRun, port.CodeUnavailable, "%v", err)
	}
	return call.Send(answer)
}

func (m *Member) addLearner(ctx context.Context, request joinRequest) (joinAnswer, error) {
	l, record := m.current.Load(), request.Record
	if l == nil {
		return joinAnswer{}, ErrNotReady
	}
	if l.shard != request.Shard {
		return joinAnswer{}, errOtherShard
	}
	done := make(chan joinAnswer, 1)
	failed := make(chan error, 1)
	work := func(l *loop) {
		status := l.member.Status()
		records := l.member.Directory()
		if !l.member.LeaderReady() {
			leader, _ := l.member.Record(status.Leader)
			done <- joinAnswer{Leader: leader.Address, Records: records}
			return
		}
		existing := slices.IndexFunc(records, func(r groupmember.Record) bool {
			return r.Address == record.Address && r.Incarnation == record.Incarnation && status.Membership.Contains(r.ID)
		})
		if existing >= 0 {
			done <- joinAnswer{ID: records[existing].ID, Records: records}
			return
		}
		if !groupmember.AcceptsLearner(status, records, l.leaving(), record.Address, l.config.Limits) {
			failed <- errGroupFull
			return
		}
		record.ID = status.Membership.HighestID + 1
		token := l.addPendingReply(func(reply groupmember.Reply) {
			if reply.Err != nil {
				failed <- reply.Err
				return
			}
			l.planNextChange()
			done <- joinAnswer{ID: record.ID, Records: l.member.Directory()}
		})
		l.member.ChangeMembership(token, consensus.AddLearner, record)
	}
	select {
	case l.requests <- work:
	case <-l.stopped:
		return joinAnswer{}, ErrNotReady
	case <-ctx.Done():
		return joinAnswer{}, ctx.Err()
	}
	select {
	case answer := <-done:
		return answer, nil
	case err := <-failed:
		return joinAnswer{}, err
	case <-l.stopped:
		return joinAnswer{}, ErrNotReady
	case <-ctx.Done():
		return joinAnswer{}, ctx.Err()
	}
}
