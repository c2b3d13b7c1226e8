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
	// maxViolations is the number of violations that ends a run.
	maxViolations = 20
	// digestInterval is the number of log positions between comparisons of full states.
	digestInterval = 8
	// confirmedAge is the max age of a confirmed view: the time until a leader without a
	// quorum steps down and its followers detect that, plus the max message delays.
	confirmedAge = 3 * time.Second
	// maxQuorumLossTicks is the max number of ticks that a leader may lead without a quorum.
	maxQuorumLossTicks = 3 * electionTicks
)

// Violation is a broken invariant.
type Violation struct {
	Check  string        `json:"check"`
	Time   time.Duration `json:"time_ns"`
	Detail string        `json:"detail"`
}

// committedEntry is the auditor's record of a committed entry.
type committedEntry struct {
	term       uint64
	digest     uint64
	summary    stateSummary
	fullDigest uint64 // digest of the full state; 0 at positions that are not compared
}

// stateSummary is a cheap summary of a state.
type stateSummary struct {
	revision      port.Revision
	position      uint64
	time          int64
	cachedResults int
}

// Auditor checks invariants against every committed entry. It applies the log to a state
// of its own, and checks the results against a reference model that shares no code with
// the state machine.
type Auditor struct {
	report     func(check, format string, arguments ...any)
	violations []Violation
	now        func() time.Duration

	entries  []committedEntry
	state    *controlstate.State
	leaders  map[uint64]consensus.MemberID
	revision port.Revision
	views    map[uint64]expectedView
	accepted map[string]port.Revision // by the change's author
	// acceptedAt records when each revision was first committed.
	acceptedAt   map[port.Revision]time.Duration
	lastAccepted time.Duration
	orders       map[port.Epoch]port.NodeID
	lastOrder    port.Epoch
	reference    referenceModel
	// onGrant, if set, is called with each lease that the log grants.
	onGrant func(port.Lease)
}

// expectedView is the expected content of the view at a position.
type expectedView struct {
	revision    port.Revision
	machineList string
}

func newAuditor() *Auditor {
	return &Auditor{
		state:      controlstate.New(),
		now:        func() time.Duration { return 0 },
		leaders:    map[uint64]consensus.MemberID{},
		views:      map[uint64]expectedView{0: {}},
		accepted:   map[string]port.Revision{},
		acceptedAt: map[port.Revision]time.Duration{},
		orders:     map[port.Epoch]port.NodeID{},
		reference:  newReferenceModel(),
	}
}

// recordCommitted records the entries that a member reports as committed.
func (a *Auditor) recordCommitted(m *machine, ready consensus.Ready) {
	for _, entry := range ready.Committed {
		digest := xxhash.Sum64(entry.Data) ^ uint64(entry.Kind)
		if entry.Index <= uint64(len(a.entries)) {
			recorded := a.entries[entry.Index-1]
			if recorded.term != entry.Term || recorded.digest != digest {
				a.report("committed entries kept", "member %d has a different entry at %d (term %d, was %d)", m.id, entry.Index, entry.Term, recorded.term)
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
	added := committedEntry{term: entry.Term, digest: digest, summary: summarize(a.state)}
	if entry.Index%digestInterval == 0 {
		added.fullDigest = stateDigest(a.state)
	}
	a.entries = append(a.entries, added)
	view := a.state.View()
	if _, found := a.views[view.Position]; !found {
		a.views[view.Position] = expectedView{revision: view.Revision, machineList: view.Configuration.MachineList}
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
	a.reference.check(a.report, command, result)
	if a.onGrant != nil && command.AcquireLease != nil && result.Error == nil {
		a.onGrant(*result.Lease)
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

// checkChange checks that each change is accepted once, and that revisions increase by
// one.
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

// checkApplied compares a member's state with the auditor's at its position.
func (a *Auditor) checkApplied(m *machine) {
	a.checkLeader(m)
	state := m.member.State()
	index := state.Applied()
	if index == m.lastAudited || index > uint64(len(a.entries)) {
		return
	}
	m.lastAudited = index
	want := a.entries[index-1]
	if got := summarize(state); got != want.summary {
		a.report("states equal", "member %d at %d: %+v, want %+v", m.id, index, got, want.summary)
	}
	if want.fullDigest != 0 && stateDigest(state) != want.fullDigest {
		a.report("states equal", "member %d at %d has a different state", m.id, index)
	}
}

// checkSnapshot checks that a snapshot can be restored and encodes to the same bytes.
func (a *Auditor) checkSnapshot(m *machine, snapshot consensus.Snapshot) {
	restored := controlstate.New()
	if err := restored.Restore(snapshot.Data); err != nil {
		a.report("snapshots", "member %d: %v", m.id, err)
		return
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(again, snapshot.Data) {
		a.report("snapshots", "member %d: a restored snapshot differs (%v)", m.id, err)
	}
}

// checkLeader checks that a term has one leader, whose log has every committed entry.
func (a *Auditor) checkLeader(m *machine) {
	if !m.member.IsLeader() {
		return
	}
	status := m.member.Status()
	if leader, found := a.leaders[status.Term]; found {
		if leader != m.id {
			a.report("one leader a term", "members %d and %d lead term %d", leader, m.id, status.Term)
		}
		return
	}
	a.leaders[status.Term] = m.id
	m.world.tracef("member %d leads term %d", m.id, status.Term)
	if status.LastIndex < uint64(len(a.entries)) {
		a.report("committed entries kept", "leader %d ends at %d, %d are committed", m.id, status.LastIndex, len(a.entries))
	}
}

// checkQuorumContact checks that a leader without a quorum steps down.
func (a *Auditor) checkQuorumContact(m *machine) {
	status := m.member.Status()
	if m.member.IsLeader() && status.TicksSinceContact > maxQuorumLossTicks {
		a.report("leaders have a quorum", "member %d leads without a quorum for %d ticks", m.id, status.TicksSinceContact)
	}
}

// checkView compares the view that an observer shows with the log.
func (a *Auditor) checkView(number int, view *port.View) {
	want, found := a.views[view.Position]
	if !found {
		a.report("views equal", "observer %d shows position %d, which no view has", number, view.Position)
		return
	}
	if view.Revision != want.revision || view.Configuration.MachineList != want.machineList {
		a.report("views equal", "observer %d at %d shows revision %d, want %d", number, view.Position, view.Revision, want.revision)
	}
}

// checkConfirmed checks that a view confirmed by a member is recent. It exempts members
// that just resumed, since they first process old messages from the leader.
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

// checkOrder checks that each fence has one holder, and that the back end accepts no
// order after one with a higher fence.
func (a *Auditor) checkOrder(fence port.Epoch, holder port.NodeID) {
	if other, seen := a.orders[fence]; seen && other != holder {
		a.report("one holder by fence", "%s and %s act under fence %d", other, holder, fence)
	}
	a.orders[fence] = holder
	if fence < a.lastOrder {
		a.report("one holder by fence", "order of %s under fence %d accepted after fence %d", holder, fence, a.lastOrder)
	}
	a.lastOrder = max(a.lastOrder, fence)
}

// checkDelivered checks a batch that the trainer received.
func (a *Auditor) checkDelivered(batch port.CommitBatch) { a.reference.checkDelivered(a.report, batch) }

func summarize(state *controlstate.State) stateSummary {
	return stateSummary{revision: state.Revision(), position: state.Position(), time: state.Time(), cachedResults: state.CachedResults()}
}

func stateDigest(state *controlstate.State) uint64 {
	data, err := state.Snapshot()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// promptsOf returns the distinct prompts of a batch.
func promptsOf(samples []port.CommittedSample) []port.PromptIndex {
	var prompts []port.PromptIndex
	for _, sample := range samples {
		if !slices.Contains(prompts, sample.Prompt) {
			prompts = append(prompts, sample.Prompt)
		}
	}
	return prompts
}
