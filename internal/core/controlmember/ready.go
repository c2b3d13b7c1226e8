package controlmember

import (
	"cmp"
	"maps"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"

	"github.com/loomgrade/loomgrade/internal/core/controlstate"
)

// HasReady says whether Ready has work to hand out.
func (m *Member) HasReady() bool { return m.node.HasReady() }

// Ready hands out work: first make HardState, Snapshot and Entries durable,
// with a sync if MustSync is set, then send Messages, then call Advance with it.
func (m *Member) Ready() consensus.Ready { return m.node.Ready() }

// Advance notes that ready was carried out, and applies what it committed. An
// error means that this member's state is unusable, and it must stop.
func (m *Member) Advance(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := m.install(*ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.Committed {
		m.apply(entry)
	}
	m.noteReads(ready.ReadStates)
	m.node.Advance(ready)
	m.refresh()
	m.serveReads()
	return nil
}

// install replaces the state by a snapshot that the leader sent.
func (m *Member) install(snapshot consensus.Snapshot) error {
	if err := m.state.Restore(snapshot.Data); err != nil {
		return err
	}
	m.snapshotIndex = snapshot.Index
	for _, index := range sortedKeys(m.pending) {
		if index <= snapshot.Index {
			m.fail(m.pending[index].token, port.NewError(port.MayHaveRun, port.CodeUnavailable, "the answer was lost in a snapshot"))
			delete(m.pending, index)
		}
	}
	return nil
}

// apply applies one committed entry and answers its proposer, if it is here.
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
	waiting, found := m.pending[entry.Index]
	if !found {
		return
	}
	delete(m.pending, entry.Index)
	if waiting.term != entry.Term {
		m.fail(waiting.token, port.NewError(port.NotRun, port.CodeUnavailable, "another leader's entry took the place in the log"))
		return
	}
	m.replies = append(m.replies, Reply{Token: waiting.token, Result: result})
}

// applyCommand applies a command. Bytes that are no command can only come from
// another version of the program; every member skips them alike.
func (m *Member) applyCommand(entry consensus.Entry) port.Result {
	command, err := controlstate.DecodeCommand(entry.Data)
	if err != nil {
		m.state.Skip(entry.Index)
		reason := port.NewError(port.NotRun, port.CodeInvalid, "entry is no command: %v", err)
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

// noteReads turns answers about leadership into reads that wait for their
// position to be applied.
func (m *Member) noteReads(states []consensus.ReadState) {
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
		m.waiting = append(m.waiting, waitingRead{token: token, index: state.Index})
	}
}

// serveReads answers the reads whose position is applied.
func (m *Member) serveReads() {
	m.waiting = slices.DeleteFunc(m.waiting, func(read waitingRead) bool {
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

// WantsSnapshot says that enough was applied since the last snapshot.
func (m *Member) WantsSnapshot() bool {
	return m.state.Applied() >= m.snapshotIndex+m.config.SnapshotEntries
}

// BuildSnapshot encodes the applied state. The owner makes it durable and then
// calls Compact with it.
func (m *Member) BuildSnapshot() (consensus.Snapshot, error) {
	data, err := m.state.Snapshot()
	if err != nil {
		return consensus.Snapshot{}, err
	}
	return m.node.BuildSnapshot(m.state.Applied(), data)
}

// Compact drops the log up to a snapshot that is durable.
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
