package controlstate

import (
	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// State is the replicated control state of one member. It is not safe for concurrent
// use; its views are immutable.
type State struct {
	document *registry.Document
	leases   registry.Leases
	weights  registry.Weights
	nodes    registry.Nodes
	answers  *registry.CachedResults
	history  registry.History
	ledger   ledger.Ledger

	applied  uint64 // index of the last applied entry
	time     int64  // log time, in Unix milliseconds
	epoch    port.Epoch
	revision port.Revision
	position uint64 // index of the last entry that changed the view
	term     uint64 // term at position

	// members holds the addresses of the control members by member id.
	members map[uint64]string

	changes changeLog
	view    *port.View // cached; nil after a change
}

// New returns the empty state before the first entry of the log.
func New() *State {
	return &State{
		document: registry.NewDocument(),
		answers:  registry.NewCachedResults(registry.MaxCachedResults),
		members:  map[uint64]string{},
	}
}

// Applied returns the index of the last entry applied or skipped.
func (s *State) Applied() uint64 { return s.applied }

// Time returns the log time in Unix milliseconds.
func (s *State) Time() int64 { return s.time }

// Revision returns the configuration's revision; 0 means never changed.
func (s *State) Revision() port.Revision { return s.revision }

// Position returns the index of the last entry that changed the view.
func (s *State) Position() uint64 { return s.position }

// History returns the accepted configuration changes, oldest first.
func (s *State) History() []registry.HistoryEntry { return s.history.List() }

// Ledger returns the delivery state of a pool.
func (s *State) Ledger(pool port.PoolName) port.LedgerState {
	state := s.ledger.State(pool)
	state.Published = s.weights.Current(pool)
	return state
}

// Lease returns a lease by name.
func (s *State) Lease(name string) (port.Lease, bool) { return s.leases.Get(name) }

// CachedResults returns the number of cached results of commands with a change id.
func (s *State) CachedResults() int { return s.answers.Len() }

// Skip records the index of a log entry that is not a command.
func (s *State) Skip(index uint64) { s.applied = max(s.applied, index) }

// SetMember sets the address of a control member from a membership entry; an empty
// address removes the member.
func (s *State) SetMember(id uint64, address string) {
	if address == "" {
		delete(s.members, id)
		return
	}
	s.members[id] = address
}

// MemberAddress returns the address of a control member that was added through the
// log. The initial members are in the settings, not here.
func (s *State) MemberAddress(id uint64) (string, bool) {
	address, found := s.members[id]
	return address, found
}

// View returns the current view. It is immutable; calls without a change between them
// return the same pointer.
func (s *State) View() *port.View {
	if s.view == nil {
		s.view = &port.View{
			Position: s.position, Term: s.term, Revision: s.revision,
			Configuration: s.document.Configuration(),
			Weights:       s.weights.List(), Leases: s.leases.List(), Nodes: s.nodes.List(),
		}
	}
	return s.view
}

// Update returns the update for an observer at position after: no changes, the changes
// since then, or the full view if the change log has dropped some or there are too many.
// An observer ahead of this member receives an update with a lower Position and no
// changes, which it ignores. The caller sets Confirmed.
func (s *State) Update(after uint64) port.ViewUpdate {
	update := port.ViewUpdate{After: after, Position: s.position, Term: s.term, Revision: s.revision}
	if after >= s.position {
		return update
	}
	changes, ok := s.changes.since(after)
	if ok {
		update.Changes = changes
		return update
	}
	update.Full = s.View()
	return update
}
