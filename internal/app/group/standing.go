package group

import (
	"context"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// standingRequest asks whether a member was removed.
type standingRequest struct {
	ID    consensus.MemberID `cbor:"1,keyasint"`
	Shard Shard              `cbor:"2,keyasint,omitempty"`
}

// standingAnswer is sure if Removed is set: a leader of Term has committed it.
type standingAnswer struct {
	Removed bool   `cbor:"1,keyasint,omitempty"`
	Term    uint64 `cbor:"2,keyasint,omitempty"`
}

// watchStanding asks other members, while this one hears no leader, whether it was
// removed: one that was away meanwhile is told by nobody, as none knows its address
// any more, and could neither vote nor take the place of a lost machine.
func (m *Member) watchStanding(ctx context.Context, l *loop, stored identity) {
	ticker := time.NewTicker(m.config.StandingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		shown := m.shown.Load()
		if shown == nil || shown.Status.QuorumActive {
			continue
		}
		if m.wasRemoved(ctx, stored, shown) {
			select {
			case l.requests <- func(l *loop) { l.removed = true }:
			case <-ctx.Done():
			}
			return
		}
	}
}

// wasRemoved asks all other members that are known.
func (m *Member) wasRemoved(ctx context.Context, stored identity, shown *PublishedState) bool {
	var contacts []string
	for _, record := range shown.Records {
		contacts = append(contacts, record.Address)
	}
	if origin, err := m.config.Origin(ctx, stored.Incarnation); err == nil {
		contacts = append(contacts, origin.Contacts...)
	}
	slices.Sort(contacts)
	for _, address := range slices.Compact(contacts) {
		if address == "" || address == m.config.Self.Address {
			continue
		}
		answer, err := m.askStanding(ctx, address, standingRequest{ID: stored.ID, Shard: stored.Shard})
		if err == nil && answer.Removed && answer.Term >= shown.Status.Term {
			return true
		}
	}
	return false
}

func (m *Member) askStanding(ctx context.Context, address string, request standingRequest) (standingAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answer standingAnswer
	err := m.peers.pool.Client(address).Call(ctx, m.config.Name+".standing", request, &answer)
	return answer, err
}

// serveStanding answers for the group if this member leads it, else with nothing.
func (m *Member) serveStanding(ctx context.Context, call *wire.Call) error {
	var asked standingRequest
	if err := call.Decode(&asked); err != nil {
		return err
	}
	l := m.current.Load()
	if l == nil {
		return port.NewError(port.NotRun, port.CodeUnavailable, "%v", ErrNotReady)
	}
	done := make(chan standingAnswer, 1)
	select {
	case l.requests <- func(l *loop) { done <- l.standing(asked) }:
	case <-l.stopped:
		return port.NewError(port.NotRun, port.CodeUnavailable, "%v", ErrNotReady)
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case answer := <-done:
		return call.Send(answer)
	case <-l.stopped:
		return port.NewError(port.NotRun, port.CodeUnavailable, "%v", ErrNotReady)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// standing says whether a member was removed. Its record is there until that is
// committed.
func (l *loop) standing(asked standingRequest) standingAnswer {
	status, id := l.member.Status(), asked.ID
	_, known := l.member.Record(id)
	if asked.Shard != l.shard || !l.member.LeaderReady() || known || id > status.Membership.HighestID || status.Membership.Contains(id) {
		return standingAnswer{}
	}
	return standingAnswer{Removed: true, Term: status.Term}
}
