package chaos

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// maxViolations ends a run that has gone wrong beyond doubt.
	maxViolations = 20
	// digestEvery is the distance of the log positions at which whole states
	// are compared.
	digestEvery = 8
	// confirmedAge is how old a confirmed view may be: the time until a leader
	// without a quorum steps down, until its follower notices, and the longest
	// delays of the messages between.
	confirmedAge = 3 * time.Second
	// quorumPatience is how many ticks a leader may go without a quorum.
	quorumPatience = 3 * electionTicks
)

// Violation is a broken invariant.
type Violation struct {
	Check  string        `json:"check"`
	Time   time.Duration `json:"time_ns"`
	Detail string        `json:"detail"`
}

// committedEntry is what the auditor remembers of a committed entry.
type committedEntry struct {
	term   uint64
	digest uint64
	print  statePrint
	state  uint64 // digest of the whole state, at some positions
}

// statePrint is a cheap summary of a state.
type statePrint struct {
	revision port.Revision
	position uint64
	time     int64
	answers  int
}

// Auditor sees every committed entry and checks what must hold. It applies the
// log to a state of its own, and checks the results against plain books that
// share no code with the state machine.
type Auditor struct {
	report     func(check, format string, arguments ...any)
	violations []Violation
	now        func() time.Duration

	entries  []committedEntry
	state    *controlstate.State
	leaders  map[uint64]consensus.MemberID
	revision port.Revision
	views    map[uint64]shownView
	accepted map[string]port.Revision // by the change's name
	// acceptedAt notes when each revision was first known to be committed.
	acceptedAt   map[port.Revision]time.Duration
	lastAccepted time.Duration
	orders       map[port.Epoch]port.NodeID
	lastOrder    port.Epoch
	books        books
	// granted, if set, hears of each lease when the log grants it.
	granted func(port.Lease)
}

// shownView is what a view at some position must show.
type shownView struct {
	revision    port.Revision
	machineList string
}

func newAuditor() *Auditor {
	return &Auditor{
		state:      controlstate.New(),
		now:        func() time.Duration { return 0 },
		leaders:    map[uint64]consensus.MemberID{},
		views:      map[uint64]shownView{0: {}},
		accepted:   map[string]port.Revision{},
		acceptedAt: map[port.Revision]time.Duration{},
		orders:     map[port.Epoch]port.NodeID{},
		books:      newBooks(),
	}
}

// noteCommitted takes in what a member was told to be committed.
func (a *Auditor) noteCommitted(m *machine, ready consensus.Ready) {
	for _, entry := range ready.Committed {
		digest := xxhash.Sum64(entry.Data) ^ uint64(entry.Kind)
		if entry.Index <= uint64(len(a.entries)) {
			known := a.entries[entry.Index-1]
			if known.term != entry.Term || known.digest != digest {
				a.report("committed entries kept", "member %d has another entry at %d (term %d, was %d)", m.id, entry.Index, entry.Term, known.term)
			}
			continue
		}
		if entry.Index != uint64(len(a.entries))+1 {
			a.report("committed entries kept", "member %d commits %d after %d", m.id, entry.Index, len(a.entries))
			return
		}
		a.append(entry, digest)
	}
}

// append applies a newly committed entry.
func (a *Auditor) append(entry consensus.Entry, digest uint64) {
	a.apply(entry)
	added := committedEntry{term: entry.Term, digest: digest, print: printOf(a.state)}
	if entry.Index%digestEvery == 0 {
		added.state = stateDigest(a.state)
	}
	a.entries = append(a.entries, added)
	view := a.state.View()
	if _, known := a.views[view.Position]; !known {
		a.views[view.Position] = shownView{revision: view.Revision, machineList: view.Configuration.MachineList}
	}
}

func (a *Auditor) apply(entry consensus.Entry) {
	if entry.Kind == consensus.EntryMembership {
		a.applyMembership(entry)
		return
	}
	command, err := controlstate.DecodeCommand(entry.Data)
	if entry.Kind != consensus.EntryNormal || err != nil {
		a.state.Skip(entry.Index)
		return
	}
	before := a.revision
	result := a.state.Apply(entry.Index, entry.Term, command)
	a.checkChange(command, result, before)
	a.books.check(a.report, command, result)
	if a.granted != nil && command.AcquireLease != nil && result.Error == nil {
		a.granted(*result.Lease)
	}
}

func (a *Auditor) applyMembership(entry consensus.Entry) {
	a.state.Skip(entry.Index)
	decoded, err := consensus.DecodeMembershipEntry(entry.Data)
	if err != nil {
		a.report("membership", "entry %d: %v", entry.Index, err)
		return
	}
	switch decoded.Change.Kind {
	case consensus.AddLearner:
		a.state.SetMember(uint64(decoded.Change.Member), string(decoded.Change.Context))
	case consensus.RemoveMember:
		a.state.SetMember(uint64(decoded.Change.Member), "")
	}
}

// checkChange demands that each change is accepted once, and that revisions
// count up by one.
func (a *Auditor) checkChange(command port.Command, result port.Result, before port.Revision) {
	a.revision = a.state.Revision()
	if command.ChangeConfiguration == nil || a.revision == before {
		return
	}
	name := command.ChangeConfiguration.Author
	if first, again := a.accepted[name]; again {
		a.report("each change once", "%s accepted as revision %d and %d", name, first, a.revision)
	}
	if a.revision != before+1 || result.Revision != a.revision || command.ChangeConfiguration.Expected != before {
		a.report("revisions count up", "%s took revision %d to %d", name, before, a.revision)
	}
	a.accepted[name] = a.revision
	a.lastAccepted = a.now()
	a.acceptedAt[a.revision] = a.now()
}

// noteApplied compares a member's state with the auditor's at its position.
func (a *Auditor) noteApplied(m *machine) {
	a.noteLeader(m)
	state := m.member.State()
	index := state.Applied()
	if index == m.audited || index > uint64(len(a.entries)) {
		return
	}
	m.audited = index
	want := a.entries[index-1]
	if got := printOf(state); got != want.print {
		a.report("states equal", "member %d at %d: %+v, want %+v", m.id, index, got, want.print)
	}
	if want.state != 0 && stateDigest(state) != want.state {
		a.report("states equal", "member %d at %d has another state", m.id, index)
	}
}

// noteSnapshot checks that a snapshot can be read and gives the same bytes again.
func (a *Auditor) noteSnapshot(m *machine, snapshot consensus.Snapshot) {
	restored := controlstate.New()
	if err := restored.Restore(snapshot.Data); err != nil {
		a.report("snapshots", "member %d: %v", m.id, err)
		return
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(again, snapshot.Data) {
		a.report("snapshots", "member %d: a restored snapshot differs (%v)", m.id, err)
	}
}

// noteLeader demands one leader a term, with every committed entry in its log.
func (a *Auditor) noteLeader(m *machine) {
	if !m.member.IsLeader() {
		return
	}
	status := m.member.Status()
	if known, led := a.leaders[status.Term]; led {
		if known != m.id {
			a.report("one leader a term", "members %d and %d lead term %d", known, m.id, status.Term)
		}
		return
	}
	a.leaders[status.Term] = m.id
	m.world.tracef("member %d leads term %d", m.id, status.Term)
	if status.LastIndex < uint64(len(a.entries)) {
		a.report("committed entries kept", "leader %d ends at %d, %d are committed", m.id, status.LastIndex, len(a.entries))
	}
}

// checkQuorumContact demands that a leader without a quorum steps down.
func (a *Auditor) checkQuorumContact(m *machine) {
	status := m.member.Status()
	if m.member.IsLeader() && status.TicksSinceContact > quorumPatience {
		a.report("leaders have a quorum", "member %d leads without a quorum for %d ticks", m.id, status.TicksSinceContact)
	}
}

// checkView compares what an observer shows with the log.
func (a *Auditor) checkView(number int, view *port.View) {
	want, known := a.views[view.Position]
	if !known {
		a.report("views equal", "observer %d shows position %d, which no view has", number, view.Position)
		return
	}
	if view.Revision != want.revision || view.Configuration.MachineList != want.machineList {
		a.report("views equal", "observer %d at %d shows revision %d, want %d", number, view.Position, view.Revision, want.revision)
	}
}

// checkConfirmed demands that a view that a member confirms is not old. A
// process that was paused finds old messages of its leader first.
func (a *Auditor) checkConfirmed(m *machine, update port.ViewUpdate) {
	now := a.now()
	if !update.Confirmed || now-m.resumed < confirmedAge {
		return
	}
	for revision := a.revision; revision > update.Revision; revision-- {
		if accepted := a.acceptedAt[revision]; now-accepted > confirmedAge {
			a.report("confirmed views are fresh", "member %d confirms revision %d, %d was accepted %v before", m.id, update.Revision, revision, now-accepted)
			return
		}
	}
}

// noteOrder demands that each fence has one holder, and that no order is taken
// after one of a higher fence.
func (a *Auditor) noteOrder(fence port.Epoch, holder port.NodeID) {
	if known, seen := a.orders[fence]; seen && known != holder {
		a.report("one holder by fence", "%s and %s act under fence %d", known, holder, fence)
	}
	a.orders[fence] = holder
	if fence < a.lastOrder {
		a.report("one holder by fence", "order of %s under fence %d taken after fence %d", holder, fence, a.lastOrder)
	}
	a.lastOrder = max(a.lastOrder, fence)
}

// noteDelivered checks a batch that reached the trainer.
func (a *Auditor) noteDelivered(batch port.CommitBatch) { a.books.noteDelivered(a.report, batch) }

func printOf(state *controlstate.State) statePrint {
	return statePrint{revision: state.Revision(), position: state.Position(), time: state.Time(), answers: state.CachedResults()}
}

func stateDigest(state *controlstate.State) uint64 {
	data, err := state.Snapshot()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// promptsOf gives the distinct prompts of a batch.
func promptsOf(samples []port.CommittedSample) []port.PromptIndex {
	var prompts []port.PromptIndex
	for _, sample := range samples {
		if !slices.Contains(prompts, sample.Prompt) {
			prompts = append(prompts, sample.Prompt)
		}
	}
	return prompts
}
