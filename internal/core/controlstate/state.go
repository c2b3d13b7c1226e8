package controlstate

import (
	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// State is the replicated control state of one member. It is not safe for
// concurrent use; the views it gives out are immutable.
type State struct {
	document *registry.Document
	leases   registry.Leases
	weights  registry.Weights
	nodes    registry.Nodes
	answers  *registry.Answers
	history  registry.History
	ledger   ledger.Ledger

	applied  uint64 // index of the last applied entry
	time     int64  // log time, milliseconds since 1970
	epoch    port.Epoch
	revision port.Revision
	position uint64 // index of the last change that a view shows
	term     uint64 // term at position

	// members holds the addresses of the control members by member id.
	members map[uint64]string

	changes changeLog
	view    *port.View // nil after a change
}

// New makes the empty state before the first entry of the log.
func New() *State {
	return &State{
		document: registry.NewDocument(),
		answers:  registry.NewAnswers(registry.MaxAnswers),
		members:  map[uint64]string{},
	}
}

// Applied gives the index of the last entry applied or skipped.
func (s *State) Applied() uint64 { return s.applied }

// Time gives the log's time in milliseconds since 1970.
func (s *State) Time() int64 { return s.time }

// Revision gives the configuration's revision; 0 means never changed.
func (s *State) Revision() port.Revision { return s.revision }

// Position gives the index of the last change that a view shows.
func (s *State) Position() uint64 { return s.position }

// History gives the accepted configuration changes, oldest first.
func (s *State) History() []registry.HistoryEntry { return s.history.List() }

// Ledger gives the delivery state of a pool.
func (s *State) Ledger(pool port.PoolName) port.LedgerState {
	state := s.ledger.State(pool)
	state.Published = s.weights.Current(pool)
	return state
}

// Lease finds a lease by name.
func (s *State) Lease(name string) (port.Lease, bool) { return s.leases.Get(name) }

// Answers gives the number of answers kept for resends.
func (s *State) Answers() int { return s.answers.Len() }

// Skip notes an entry of the log that is no command.
func (s *State) Skip(index uint64) { s.applied = max(s.applied, index) }

// SetMember notes the address that a membership entry gave for a control
// member; an empty address forgets the member.
func (s *State) SetMember(id uint64, address string) {
	if address == "" {
		delete(s.members, id)
		return
	}
	s.members[id] = address
}

// MemberAddress gives the address of a control member that joined through the
// log; first members stand in the settings and are not known here.
func (s *State) MemberAddress(id uint64) (string, bool) {
	address, found := s.members[id]
	return address, found
}

// View gives the present view. It is immutable; calls without a change between
// them give the same pointer.
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

// Update gives what an observer at position after lacks: nothing, the changes
// since, or the whole view if they are no longer kept or too many. An observer
// that is ahead of this member gets an update without changes whose Position is
// below its own, and keeps what it has. Confirmed is left for the member to set.
func (s *State) Update(after uint64) port.ViewUpdate {
	update := port.ViewUpdate{After: after, Position: s.position, Term: s.term, Revision: s.revision}
	if after >= s.position {
		return update
	}
	changes, kept := s.changes.since(after)
	if kept {
		update.Changes = changes
		return update
	}
	update.Full = s.View()
	return update
}
