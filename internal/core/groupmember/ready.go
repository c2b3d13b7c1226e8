package groupmember

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
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
	if err := m.restore(snapshot); err != nil {
		return err
	}
	m.applied, m.snapshotIndex, m.bytesSinceSnapshot, m.bytesSinceCapture = snapshot.Index, snapshot.Index, 0, 0
	m.membershipKnown = true
	for _, index := range sortedKeys(m.pending) {
		if index <= snapshot.Index {
			m.fail(m.pending[index].token, ErrLeadershipLost)
			delete(m.pending, index)
		}
	}
	return nil
}

// apply applies one committed entry and replies to its proposal, if this member made it.
func (m *Member) apply(entry consensus.Entry) {
	m.applied = entry.Index
	m.bytesSinceSnapshot += len(entry.Data)
	m.bytesSinceCapture += len(entry.Data)
	var result any
	switch entry.Kind {
	case consensus.EntryNormal:
		result = m.applyNormal(entry)
	case consensus.EntryMembership:
		m.membershipKnown = true
		m.applyMembership(entry)
	case consensus.EntryEmpty:
	}
	proposed, found := m.pending[entry.Index]
	if !found {
		return
	}
	delete(m.pending, entry.Index)
	if proposed.term != entry.Term {
		m.fail(proposed.token, ErrProposalReplaced)
		return
	}
	m.replies = append(m.replies, Reply{Token: proposed.token, Result: result})
}

// applyNormal applies a command or the directory. Data that cannot be decoded comes from
// another version of the program; every member skips it.
func (m *Member) applyNormal(entry consensus.Entry) any {
	var decoded envelope
	if err := cbor.Unmarshal(entry.Data, &decoded); err != nil {
		return eris.Wrap(err, "decode entry")
	}
	if decoded.Directory != nil {
		m.directoryLogged = true
		for _, record := range decoded.Directory {
			m.directory[record.ID] = record
		}
		return nil
	}
	return m.machine.Apply(entry.Index, decoded.Command)
}

func (m *Member) applyMembership(entry consensus.Entry) {
	decoded, err := consensus.DecodeMembershipEntry(entry.Data)
	if err != nil {
		return
	}
	switch decoded.Change.Kind {
	case consensus.AddLearner:
		var record Record
		if cbor.Unmarshal(decoded.Change.Context, &record) == nil {
			m.directory[decoded.Change.Member] = record
		}
	case consensus.RemoveMember:
		delete(m.directory, decoded.Change.Member)
	case consensus.PromoteLearner:
	}
}

// ProposeDirectory adds the initial members' records to the log for members that join. The
// leader calls it; it does nothing if they are in the log already.
func (m *Member) ProposeDirectory() {
	if m.directoryLogged || !m.LeaderReady() {
		return
	}
	m.directoryLogged = true // once per leadership; if the entry is lost, the next leader proposes it
	data, err := cbor.Marshal(envelope{Directory: m.directory.list()})
	if err != nil {
		return
	}
	if _, _, err := m.node.Propose(data); err != nil {
		m.directoryLogged = false
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
			m.fail(token, consensus.ErrNotLeader)
			continue
		}
		m.confirmedReads = append(m.confirmedReads, confirmedRead{token: token, index: state.Index})
	}
}

// serveReads replies to the reads whose index is applied.
func (m *Member) serveReads() {
	m.confirmedReads = slices.DeleteFunc(m.confirmedReads, func(read confirmedRead) bool {
		if m.applied < read.index {
			return false
		}
		m.replies = append(m.replies, Reply{Token: read.token})
		return true
	})
}

// sendingSnapshotFactor raises the snapshot thresholds while a snapshot is being sent. A
// new one would add a copy of the state, and compact entries that the receiver needs next. A
// leader that took one meanwhile used 166 MB for 36 MB of jobs, at a limit of 182 MB: garbage
// collection took half of its processor for 2.7 s, and the receiver needed the new one as well.
const sendingSnapshotFactor = 2

// SnapshotDue reports whether enough entries or bytes were applied since the last snapshot.
func (m *Member) SnapshotDue() bool {
	entries := m.applied - m.snapshotIndex
	if !m.membershipKnown || entries == 0 {
		return false
	}
	minEntries, minBytes := m.config.SnapshotEntries, max(m.config.SnapshotBytes, m.snapshotBytes/2)
	if m.node.SendingSnapshot() {
		minEntries, minBytes = sendingSnapshotFactor*minEntries, sendingSnapshotFactor*minBytes
	}
	return entries >= minEntries || m.bytesSinceSnapshot >= minBytes
}

// Capture is the applied state at one index of the log, before it is encoded.
type Capture struct {
	snapshot consensus.Snapshot
	header   snapshotHeader
	state    Encoder
}

// CaptureSnapshot captures the applied state. The caller encodes it, makes it durable and
// passes it to Compact; the member continues to run.
func (m *Member) CaptureSnapshot() (Capture, error) {
	snapshot, err := m.node.BuildSnapshot(m.applied, nil)
	if err != nil {
		return Capture{}, err
	}
	m.bytesSinceCapture = 0
	head := snapshotHeader{Directory: m.directory.list(), DirectoryLogged: m.directoryLogged}
	return Capture{snapshot: snapshot, header: head, state: m.machine.Snapshot()}, nil
}

// Encode returns the encoded snapshot. It is called once, and may run concurrently with
// the member's methods.
func (c Capture) Encode() (consensus.Snapshot, error) {
	head, err := cbor.Marshal(c.header)
	if err != nil {
		return consensus.Snapshot{}, err
	}
	var data bytes.Buffer
	data.Write(binary.AppendUvarint(nil, uint64(len(head))))
	data.Write(head)
	if err := c.state(&data); err != nil {
		return consensus.Snapshot{}, err
	}
	c.snapshot.Data = data.Bytes()
	return c.snapshot, nil
}

// Compact drops the log up to a durable snapshot. It fails with consensus.ErrCompacted if
// the leader has sent a later one.
func (m *Member) Compact(snapshot consensus.Snapshot) error {
	if err := m.node.Compact(snapshot); err != nil {
		return err
	}
	m.snapshotIndex, m.bytesSinceSnapshot, m.snapshotBytes = snapshot.Index, m.bytesSinceCapture, len(snapshot.Data)
	return nil
}

// ReleaseSnapshot discards the data of the newest snapshot, which the caller has made
// durable.
func (m *Member) ReleaseSnapshot() { m.node.ReleaseSnapshot() }

// SnapshotWanted reports whether another member waits for the released data of the newest
// snapshot.
func (m *Member) SnapshotWanted() bool { return m.node.SnapshotWanted() }

// SendingSnapshot reports whether another member is receiving a snapshot or waits for
// one.
func (m *Member) SendingSnapshot() bool { return m.node.SendingSnapshot() }

// ProvideSnapshot restores the data of the newest snapshot; any other one is ignored.
func (m *Member) ProvideSnapshot(snapshot consensus.Snapshot) { m.node.ProvideSnapshot(snapshot) }

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
