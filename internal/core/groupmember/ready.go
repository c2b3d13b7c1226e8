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
	if err := m.restore(snapshot); err != nil {
		return err
	}
	m.applied, m.snapshotIndex, m.bytesSinceSaved, m.bytesSinceCaptured = snapshot.Index, snapshot.Index, 0, 0
	m.placed = true
	for _, index := range sortedKeys(m.pending) {
		if index <= snapshot.Index {
			m.fail(m.pending[index].token, ErrLeadershipLost)
			delete(m.pending, index)
		}
	}
	return nil
}

// apply applies one committed entry and answers its proposer, if it is here.
func (m *Member) apply(entry consensus.Entry) {
	m.applied = entry.Index
	m.bytesSinceSaved += len(entry.Data)
	m.bytesSinceCaptured += len(entry.Data)
	var result any
	switch entry.Kind {
	case consensus.EntryNormal:
		result = m.applyNormal(entry)
	case consensus.EntryMembership:
		m.placed = true
		m.applyMembership(entry)
	case consensus.EntryEmpty:
	}
	waiting, found := m.pending[entry.Index]
	if !found {
		return
	}
	delete(m.pending, entry.Index)
	if waiting.term != entry.Term {
		m.fail(waiting.token, ErrDisplaced)
		return
	}
	m.replies = append(m.replies, Reply{Token: waiting.token, Result: result})
}

// applyNormal applies a command or the directory. Bytes that are neither can
// only come from another version of the program; every member skips them alike.
func (m *Member) applyNormal(entry consensus.Entry) any {
	var decoded envelope
	if err := cbor.Unmarshal(entry.Data, &decoded); err != nil {
		return eris.Wrap(err, "decode entry")
	}
	if decoded.Directory != nil {
		m.told = true
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

// TellDirectory puts the founders' records into the log once, for members that
// join and cannot know them. The leader calls it; it does nothing if they
// stand there already.
func (m *Member) TellDirectory() {
	if m.told || !m.Settled() {
		return
	}
	m.told = true // not again in this leadership; a lost entry is told by the next
	data, err := cbor.Marshal(envelope{Directory: m.directory.list()})
	if err != nil {
		return
	}
	if _, _, err := m.node.Propose(data); err != nil {
		m.told = false
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
			m.fail(token, consensus.ErrNotLeader)
			continue
		}
		m.waiting = append(m.waiting, waitingRead{token: token, index: state.Index})
	}
}

// serveReads answers the reads whose position is applied.
func (m *Member) serveReads() {
	m.waiting = slices.DeleteFunc(m.waiting, func(read waitingRead) bool {
		if m.applied < read.index {
			return false
		}
		m.replies = append(m.replies, Reply{Token: read.token})
		return true
	})
}

// sendingFactor is how much more may be applied before a snapshot while the one before is
// being sent. A leader that made one meanwhile held the state three times (166 MB for jobs
// of 36 MB, at a limit of 182 MB: half of its processor went to collections for 2.7 s), and
// dropped the entries that the other member needs next, which then had to be sent the new
// one as well.
const sendingFactor = 2

// WantsSnapshot says that enough was applied since the last snapshot.
func (m *Member) WantsSnapshot() bool {
	entries := m.applied - m.snapshotIndex
	if !m.placed || entries == 0 {
		return false
	}
	enoughEntries, enoughBytes := m.config.SnapshotEntries, max(m.config.SnapshotBytes, m.savedBytes/2)
	if m.node.SendsSnapshot() {
		enoughEntries, enoughBytes = sendingFactor*enoughEntries, sendingFactor*enoughBytes
	}
	return entries >= enoughEntries || m.bytesSinceSaved >= enoughBytes
}

// Capture is the applied state at one position of the log, not encoded yet.
type Capture struct {
	snapshot consensus.Snapshot
	head     snapshotHead
	state    Encoder
}

// CaptureSnapshot captures the applied state. The owner encodes it, makes it durable
// and then calls Compact with it; meanwhile the member goes on.
func (m *Member) CaptureSnapshot() (Capture, error) {
	snapshot, err := m.node.BuildSnapshot(m.applied, nil)
	if err != nil {
		return Capture{}, err
	}
	m.bytesSinceCaptured = 0
	head := snapshotHead{Directory: m.directory.list(), Told: m.told}
	return Capture{snapshot: snapshot, head: head, state: m.machine.Snapshot()}, nil
}

// Encode gives the snapshot. It is called once, and may run in another goroutine
// beside the member's calls.
func (c Capture) Encode() (consensus.Snapshot, error) {
	head, err := cbor.Marshal(c.head)
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

// Compact drops the log up to a snapshot that is durable. It fails with
// consensus.ErrCompacted if the leader sent a later one meanwhile.
func (m *Member) Compact(snapshot consensus.Snapshot) error {
	if err := m.node.Compact(snapshot); err != nil {
		return err
	}
	m.snapshotIndex, m.bytesSinceSaved, m.savedBytes = snapshot.Index, m.bytesSinceCaptured, len(snapshot.Data)
	return nil
}

// ReleaseSnapshot drops the data of the newest snapshot, which the owner has made
// durable.
func (m *Member) ReleaseSnapshot() { m.node.ReleaseSnapshot() }

// SnapshotWanted reports whether another member waits for the data of the newest
// snapshot, which was released.
func (m *Member) SnapshotWanted() bool { return m.node.SnapshotWanted() }

// SendsSnapshot reports whether another member is being sent a snapshot.
func (m *Member) SendsSnapshot() bool { return m.node.SendsSnapshot() }

// ProvideSnapshot gives the data of the newest snapshot back; another one is ignored.
func (m *Member) ProvideSnapshot(snapshot consensus.Snapshot) { m.node.ProvideSnapshot(snapshot) }

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
