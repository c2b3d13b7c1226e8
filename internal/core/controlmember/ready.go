package controlmember

import (
	"cmp"
	"maps"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"

	"github.com/loomgrade/loomgrade/internal/core/controlstate"
)

// HasReady reports whether Ready has work.
func (m *Member) HasReady() bool { return m.node.HasReady() }

// Ready returns pending work: first make HardState, Snapshot and Entries durable, with a
// sync if MustSync is set, then send Messages, then pass it to Advance.
func (m *Member) Ready() consensus.Ready { return m.node.Ready() }

// Advance confirms that the caller has processed ready, and applies its committed entries.
// After an error this member's state is invalid, and it must stop.
func (m *Member) Advance(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := m.install(*ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.Committed {
		m.apply(entry)
	}
	m.queueReads(ready.ReadStates)
	m.node.Advance(ready)
	m.updateStatus()
	m.serveReads()
	return nil
}

// install replaces the state with a snapshot from the leader.
func (m *Member) install(snapshot consensus.Snapshot) error {
	if err := m.state.Restore(snapshot.Data); err != nil {
		return err
	}
	m.snapshotIndex = snapshot.Index
	for _, index := range sortedKeys(m.pending) {
		if index <= snapshot.Index {
			m.fail(m.pending[index].token, port.NewError(port.MayHaveRun, port.CodeUnavailable, "a snapshot replaced the entry before its result was known"))
			delete(m.pending, index)
		}
	}
	return nil
}

// apply applies one committed entry and replies to its proposal, if this member made it.
func (m *Member) apply(entry consensus.Entry) {
	result := port.Result{Index: entry.Index}
	switch entry.Kind {
	case consensus.EntryNormal:
		result = m.applyCommand(entry)
	case consensus.EntryMembership:
		m.applyMembership(entry)
		result.Revision = m.state.Revision()
	default:
		m.state.Skip(entry.Index)
	}
	proposed, found := m.pending[entry.Index]
	if !found {
		return
	}
	delete(m.pending, entry.Index)
	if proposed.term != entry.Term {
		m.fail(proposed.token, port.NewError(port.NotRun, port.CodeUnavailable, "proposal was replaced by another leader's entry"))
		return
	}
	m.replies = append(m.replies, Reply{Token: proposed.token, Result: result})
}

// applyCommand applies a command. Data that is not a command comes from another version of
// the program; every member skips it.
func (m *Member) applyCommand(entry consensus.Entry) port.Result {
	command, err := controlstate.DecodeCommand(entry.Data)
	if err != nil {
		m.state.Skip(entry.Index)
		reason := port.NewError(port.NotRun, port.CodeInvalid, "entry is not a command: %v", err)
		return port.Result{Index: entry.Index, Revision: m.state.Revision(), Error: reason}
	}
	return m.state.Apply(entry.Index, entry.Term, command)
}

func (m *Member) applyMembership(entry consensus.Entry) {
	m.state.Skip(entry.Index)
	decoded, err := consensus.DecodeMembershipEntry(entry.Data)
	if err != nil {
		return
	}
	switch decoded.Change.Kind {
	case consensus.AddLearner:
		m.state.SetMember(uint64(decoded.Change.Member), string(decoded.Change.Context))
	case consensus.RemoveMember:
		m.state.SetMember(uint64(decoded.Change.Member), "")
	}
}

// queueReads queues confirmed reads until their index is applied, and fails those for
// which leadership was lost.
func (m *Member) queueReads(states []consensus.ReadState) {
	for _, state := range states {
		token, found := m.reads[state.RequestID]
		if !found {
			continue
		}
		delete(m.reads, state.RequestID)
		if state.Lost {
			m.fail(token, port.NewError(port.NotRun, port.CodeUnavailable, "leadership was lost before the read"))
			continue
		}
		m.confirmedReads = append(m.confirmedReads, confirmedRead{token: token, index: state.Index})
	}
}

// serveReads replies to the reads whose index is applied.
func (m *Member) serveReads() {
	m.confirmedReads = slices.DeleteFunc(m.confirmedReads, func(read confirmedRead) bool {
		if m.state.Applied() < read.index {
			return false
		}
		m.replies = append(m.replies, Reply{
			Token:  read.token,
			Result: port.Result{Index: m.state.Applied(), Revision: m.state.Revision()},
		})
		return true
	})
}

// SnapshotDue reports whether a snapshot is due.
func (m *Member) SnapshotDue() bool {
	return m.state.Applied() >= m.snapshotIndex+m.config.SnapshotEntries
}

// BuildSnapshot encodes the applied state. The caller makes it durable and then calls
// Compact.
func (m *Member) BuildSnapshot() (consensus.Snapshot, error) {
	data, err := m.state.Snapshot()
	if err != nil {
		return consensus.Snapshot{}, err
	}
	return m.node.BuildSnapshot(m.state.Applied(), data)
}

// Compact drops the log up to a durable snapshot.
func (m *Member) Compact(snapshot consensus.Snapshot) error {
	if err := m.node.Compact(snapshot); err != nil {
		return err
	}
	m.snapshotIndex = snapshot.Index
	return nil
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
