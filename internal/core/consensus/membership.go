package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MembershipChangeKind is the kind of a MembershipChange.
type MembershipChangeKind uint8

const (
	// AddLearner adds a member that receives the log but has no vote.
	AddLearner MembershipChangeKind = iota + 1
	// PromoteLearner makes a learner a voter.
	PromoteLearner
	// RemoveMember removes a voter or learner from the group.
	RemoveMember
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Kind   MembershipChangeKind `cbor:"1,keyasint"`
	Member MemberID             `cbor:"2,keyasint"`
	// Context is passed to the state machine, for example the member's address.
	Context []byte `cbor:"3,keyasint,omitempty"`
}

// MembershipEntry is the data of an entry of kind EntryMembership.
type MembershipEntry struct {
	Change MembershipChange `cbor:"1,keyasint"`
	Result Membership       `cbor:"2,keyasint"`
}

// DecodeMembershipEntry decodes the data of an entry of kind EntryMembership.
func DecodeMembershipEntry(data []byte) (MembershipEntry, error) {
	var entry MembershipEntry
	if err := cbor.Unmarshal(data, &entry); err != nil {
		return MembershipEntry{}, fmt.Errorf("%w: membership entry: %v", ErrMalformed, err)
	}
	if len(entry.Result.Voters) == 0 || !entry.Result.valid() {
		return MembershipEntry{}, fmt.Errorf("%w: invalid membership", ErrMalformed)
	}
	return entry, nil
}

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// membershipAt returns the membership in force after the entry at index.
func (n *Node) membershipAt(index uint64) Membership {
	for _, at := range slices.Backward(n.membershipHistory) {
		if at.index <= index {
			return at.membership
		}
	}
	return n.membershipHistory[0].membership
}

func membershipsIn(entries []Entry) ([]indexedMembership, error) {
	var found []indexedMembership
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		decoded, err := DecodeMembershipEntry(entry.Data)
		if err != nil {
			return nil, err
		}
		found = append(found, indexedMembership{entry.Index, decoded.Result})
	}
	return found, nil
}

func (n *Node) recordMemberships(memberships []indexedMembership) {
	if len(memberships) == 0 {
		return
	}
	n.membershipHistory = append(n.membershipHistory, memberships...)
	n.membership = n.membershipHistory[len(n.membershipHistory)-1].membership
}

// truncateMemberships removes the memberships from index on.
func (n *Node) truncateMemberships(index uint64) {
	for len(n.membershipHistory) > 1 && n.membershipHistory[len(n.membershipHistory)-1].index >= index {
		n.membershipHistory = n.membershipHistory[:len(n.membershipHistory)-1]
	}
	n.membership = n.membershipHistory[len(n.membershipHistory)-1].membership
}

// pruneMemberships removes the memberships that were replaced at or before index.
func (n *Node) pruneMemberships(index uint64) {
	for len(n.membershipHistory) > 1 && n.membershipHistory[1].index <= index {
		n.membershipHistory = n.membershipHistory[1:]
	}
}

// ProposeMembership appends a membership change; only one may be pending (section 4.1 of
// the Raft dissertation). A member uses a change as soon as its log has the entry. Besides
// the errors of Propose it fails with ErrChangePending, ErrAlreadyMember, ErrReusedID,
// ErrNotMember, ErrNotCaughtUp or ErrUnsafeChange.
func (n *Node) ProposeMembership(change MembershipChange) (index, term uint64, err error) {
	if err := n.checkProposal(change.Context); err != nil {
		return 0, 0, err
	}
	if n.membershipHistory[len(n.membershipHistory)-1].index > n.log.commit || n.log.commit < n.leadership.termStart {
		return 0, 0, ErrChangePending
	}
	result, err := n.changedMembership(change)
	if err != nil {
		return 0, 0, err
	}
	data, err := cbor.Marshal(MembershipEntry{Change: change, Result: result})
	if err != nil {
		return 0, 0, fmt.Errorf("encode membership entry: %w", err)
	}
	entry := n.appendEntry(EntryMembership, data)
	n.recordMemberships([]indexedMembership{{entry.Index, result}})
	n.reconcilePeers()
	return entry.Index, entry.Term, nil
}

func (n *Node) changedMembership(change MembershipChange) (Membership, error) {
	result := n.membership.Clone()
	switch change.Kind {
	case AddLearner:
		if result.Contains(change.Member) {
			return Membership{}, ErrAlreadyMember
		}
		if change.Member <= result.HighestID {
			return Membership{}, ErrReusedID
		}
		result.Learners = append(result.Learners, change.Member)
	case PromoteLearner:
		if !result.IsLearner(change.Member) {
			return Membership{}, ErrNotMember
		}
		result.Learners = withoutMember(result.Learners, change.Member)
		result.Voters = append(result.Voters, change.Member)
		if !n.promotable(change.Member, result.Quorum() > n.membership.Quorum()) {
			return Membership{}, ErrNotCaughtUp
		}
	case RemoveMember:
		if !result.Contains(change.Member) {
			return Membership{}, ErrNotMember
		}
		result.Learners = withoutMember(result.Learners, change.Member)
		result.Voters = withoutMember(result.Voters, change.Member)
	default:
		return Membership{}, ErrMalformed
	}
	if change.Kind != AddLearner && !n.activeQuorum(result) {
		return Membership{}, ErrUnsafeChange
	}
	return result.normalized(), nil
}

// promotable reports whether a learner may become a voter. If the quorum grows, the learner
// must be caught up: commits might depend on it. From an even number of voters to the next
// odd one the quorum stays as large as it was, so that the learner only adds a vote; it is
// enough that it answers. It acknowledges an entry only with all earlier ones, and cannot be
// elected over a voter with a longer log.
func (n *Node) promotable(id MemberID, quorumGrows bool) bool {
	if quorumGrows && !n.config.Safeguards.NoCatchUpRule {
		return n.caughtUp(id)
	}
	peer := n.leadership.peers[id]
	return peer != nil && peer.answered() && n.active(peer)
}

// caughtUp reports whether a member is active and its durable log includes the entries
// that were committed one heartbeat ago.
func (n *Node) caughtUp(id MemberID) bool {
	peer := n.leadership.peers[id]
	return peer != nil && n.active(peer) && peer.match >= n.leadership.promotionFloor
}

// activeQuorum reports whether the active voters form a quorum of membership.
func (n *Node) activeQuorum(membership Membership) bool {
	count := 0
	for _, id := range membership.Voters {
		peer := n.leadership.peers[id]
		if id == n.config.ID || peer != nil && n.active(peer) {
			count++
		}
	}
	return len(membership.Voters) > 0 && count >= membership.Quorum()
}

func withoutMember(members []MemberID, id MemberID) []MemberID {
	return slices.DeleteFunc(members, func(member MemberID) bool { return member == id })
}

func sameMembers(a, b Membership) bool {
	a, b = a.normalized(), b.normalized()
	return slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Learners, b.Learners)
}

// reconcilePeers updates the leader's peers from the membership. A removed member still
// receives the log until it knows that its removal is committed.
func (n *Node) reconcilePeers() {
	lead := &n.leadership
	if lead.peers == nil {
		lead.peers = map[MemberID]*progress{}
	}
	for _, id := range n.membership.Members() {
		if id != n.config.ID && lead.peers[id] == nil {
			lead.peers[id] = &progress{next: n.log.lastIndex() + 1, window: minWindowBytes, contactTick: n.now, progressTick: n.now}
		}
	}
	for id, peer := range lead.peers {
		if !n.membership.Contains(id) && peer.removalIndex == 0 {
			peer.removalIndex = n.membershipHistory[len(n.membershipHistory)-1].index
		}
	}
	n.sortPeers()
}

func (n *Node) sortPeers() {
	order := make([]MemberID, 0, len(n.leadership.peers))
	for id := range n.leadership.peers {
		order = append(order, id)
	}
	slices.Sort(order)
	n.leadership.peerOrder = order
}

func (n *Node) dropPeer(id MemberID) {
	delete(n.leadership.peers, id)
	n.sortPeers()
}

// dropInactiveRemoved drops removed members that do not answer.
func (n *Node) dropInactiveRemoved() {
	for _, id := range slices.Clone(n.leadership.peerOrder) {
		peer := n.leadership.peers[id]
		if peer.removalIndex > 0 && n.log.commit >= peer.removalIndex && !n.active(peer) {
			n.dropPeer(id)
		}
	}
}

// checkRemoval stops this member once its removal is committed. Memberships from
// before this member was added do not stop it.
func (n *Node) checkRemoval() {
	if n.membershipAt(n.log.commit).Contains(n.config.ID) {
		n.wasMember = true
		return
	}
	if n.wasMember {
		n.becomeRemoved()
	}
}

func (n *Node) becomeRemoved() {
	if n.role == RoleLeader {
		n.broadcastHeartbeat()
		n.offerLeadership()
		n.clearLeadership()
	}
	n.role = RoleRemoved
	n.leader = None
}

// offerLeadership sends MessageTimeoutNow to the active voter with the longest log.
func (n *Node) offerLeadership() {
	best := None
	for _, id := range n.membership.Voters {
		peer := n.leadership.peers[id]
		if peer == nil || !n.active(peer) {
			continue
		}
		if best == None || peer.match > n.leadership.peers[best].match {
			best = id
		}
	}
	if best != None {
		n.send(Message{Kind: MessageTimeoutNow, To: best})
	}
}

// replyIfRemoved answers a pre-vote of a member that is not in the committed membership,
// and reports whether it did.
func (n *Node) replyIfRemoved(message Message) bool {
	committed := n.membershipHistory[len(n.membershipHistory)-1].index <= n.log.commit
	if n.role != RoleLeader || !committed || n.membership.Contains(message.From) {
		return false
	}
	n.send(Message{Kind: MessageRemoved, To: message.From})
	return true
}

// handleRemoved stops this member if the sender's term is current. A leader that does
// not know of this member yet has an earlier term.
func (n *Node) handleRemoved(message Message) {
	if message.Term >= n.term && n.role != RoleLeader {
		n.becomeRemoved()
	}
}
