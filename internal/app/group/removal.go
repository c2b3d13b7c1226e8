package group

import (
	"context"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// removalRequest queries whether another member was removed.
type removalRequest struct {
	ID    consensus.MemberID `cbor:"1,keyasint"`
	Shard Shard              `cbor:"2,keyasint,omitempty"`
}

// removalAnswer reports a removal if Removed is set: a leader of Term has applied it.
type removalAnswer struct {
	Removed bool   `cbor:"1,keyasint,omitempty"`
	Term    uint64 `cbor:"2,keyasint,omitempty"`
}

// watchRemoval periodically checks, while the member has no quorum, whether it was removed.
// The other members no longer know the address of a removed member and cannot notify it.
func (m *Member) watchRemoval(ctx context.Context, l *loop, stored identity) {
	ticker := time.NewTicker(m.config.RemovalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		published := m.published.Load()
		if published == nil || published.Status.QuorumActive {
			continue
		}
		if m.wasRemoved(ctx, stored, published) {
			select {
			case l.requests <- func(l *loop) { l.removed = true }:
			case <-ctx.Done():
			}
			return
		}
	}
}

// wasRemoved reports whether any known member confirms the removal of this one.
func (m *Member) wasRemoved(ctx context.Context, stored identity, published *PublishedState) bool {
	var contacts []string
	for _, record := range published.Records {
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
		answer, err := m.requestRemovalStatus(ctx, address, removalRequest{ID: stored.ID, Shard: stored.Shard})
		if err == nil && answer.Removed && answer.Term >= published.Status.Term {
			return true
		}
	}
	return false
}

func (m *Member) requestRemovalStatus(ctx context.Context, address string, request removalRequest) (removalAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answer removalAnswer
	err := m.peers.pool.Client(address).Call(ctx, m.config.Name+".standing", request, &answer)
	return answer, err
}

// serveRemovalStatus answers a removalRequest. Only the leader reports a removal.
func (m *Member) serveRemovalStatus(ctx context.Context, call *wire.Call) error {
	var request removalRequest
	if err := call.Decode(&request); err != nil {
		return err
	}
	l := m.current.Load()
	if l == nil {
		return port.NewError(port.NotRun, port.CodeUnavailable, "%v", ErrNotReady)
	}
	done := make(chan removalAnswer, 1)
	select {
	case l.requests <- func(l *loop) { done <- l.removalStatus(request) }:
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

// removalStatus reports whether a member was removed. The directory has a member's record
// until the removal is committed.
func (l *loop) removalStatus(request removalRequest) removalAnswer {
	status, id := l.member.Status(), request.ID
	_, listed := l.member.Record(id)
	if request.Shard != l.shard || !l.member.LeaderReady() || listed || id > status.Membership.HighestID || status.Membership.Contains(id) {
		return removalAnswer{}
	}
	return removalAnswer{Removed: true, Term: status.Term}
}
