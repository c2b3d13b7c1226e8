package consensus

// vote is a member's answer to a pre-vote or a vote request.
type vote uint8

const (
	voteRefused vote = iota
	voteGranted
	// voteFresh is a pre-vote that is refused by a member that has just started.
	voteFresh
)

// standForElection starts with a pre-vote, which changes no term.
func (n *Node) standForElection() {
	if n.config.Safeguards.NoPreVote {
		n.campaign(Message{})
		return
	}
	n.role = RolePreCandidate
	n.leader = None
	n.resetElectionTimer()
	n.standEarly()
	n.votes = map[MemberID]vote{}
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
	n.countVote(n.config.ID, voteGranted)
}

// standEarly has a member that has just started ask the others soon, and again and again.
// As long as it may have helped a leader to a lease before it stopped, it counts on nothing
// less than all voters: if none leads and none has heard a leader since it started, there
// is no leader, and nobody needs to wait for an election timeout. So it is after all
// processes were killed.
func (n *Node) standEarly() {
	if n.fresh() && !n.config.Safeguards.NoPreVote {
		n.electionTimeout = n.earlyPause()
	}
}

// earlyPause gives the ticks until a member that has just started asks, and asks again.
// Two ticks are enough for the others to be up, if all started together.
func (n *Node) earlyPause() int { return 1 + n.random.intn(2) }

// fresh reports whether this member still counts as hearing a leader only because it has
// just started.
func (n *Node) fresh() bool {
	return !n.heard && n.role != RoleLeader && n.hearsLeader()
}

// campaign raises the term and asks for votes, of the kind of a request.
func (n *Node) campaign(request Message) {
	n.term++
	n.votedFor = n.config.ID
	n.role = RoleCandidate
	n.leader = None
	n.resetElectionTimer()
	n.unanimous = request.Unanimous
	if n.unanimous {
		n.electionTimeout = n.refusedPause()
	}
	n.votes = map[MemberID]vote{}
	request.Kind = MessageVote
	n.requestVotes(request)
	n.countVote(n.config.ID, voteGranted)
}

func (n *Node) requestVotes(request Message) {
	request.Index = n.log.lastIndex()
	request.LogTerm = n.log.lastTerm()
	for _, id := range n.membership.Voters {
		if id == n.config.ID {
			continue
		}
		request.To = id
		n.send(request)
	}
}

// countVote records an answer and acts once enough voters have decided.
func (n *Node) countVote(from MemberID, answer vote) {
	if _, answered := n.votes[from]; !answered {
		n.votes[from] = answer
	}
	counts := map[vote]int{}
	for _, id := range n.membership.Voters {
		if answer, answered := n.votes[id]; answered {
			counts[answer]++
		}
	}
	if n.role == RolePreCandidate {
		n.countPreVotes(counts)
		return
	}
	switch needed := n.votesNeeded(); {
	case counts[voteGranted] >= needed:
		n.becomeLeader()
	case counts[voteRefused] > len(n.membership.Voters)-needed:
		n.role = RoleFollower
	}
}

// votesNeeded gives how many voters have to vote for this candidate.
func (n *Node) votesNeeded() int {
	if n.unanimous {
		return len(n.membership.Voters)
	}
	return n.membership.Quorum()
}

// countPreVotes goes on to the vote, or sets the time of the next try.
func (n *Node) countPreVotes(counts map[vote]int) {
	quorum, voters := n.membership.Quorum(), len(n.membership.Voters)
	switch {
	case counts[voteGranted] >= quorum && !n.fresh():
		n.campaign(Message{})
	case counts[voteGranted]+counts[voteFresh] == voters:
		n.campaign(Message{Unanimous: true})
	case counts[voteRefused]+counts[voteFresh] >= quorum:
		n.electionTimeout = min(n.electionTimeout, n.electionElapsed+n.refusedPause())
		if counts[voteRefused] > 0 {
			n.role = RoleFollower
		}
	}
}

// refusedPause gives the ticks until a pre-vote that was refused is repeated. It is
// short: a pre-vote changes nothing, and members that have just started refuse it
// until an election timeout has passed, though there may be no leader.
func (n *Node) refusedPause() int {
	const pausesPerElection = 4
	pause := max(1, n.config.ElectionTicks/pausesPerElection)
	return pause + n.random.intn(pause)
}

// becomeFollower enters term, which is at least the present one.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if n.role == RoleLeader {
		n.resign()
	}
	if term > n.term {
		n.term = term
		n.votedFor = None
	}
	n.role = RoleFollower
	n.leader = leader
	n.resetElectionTimer()
}

// resign drops what only a leader keeps.
func (n *Node) resign() {
	for _, read := range n.leadership.reads {
		n.outbox.readStates = append(n.outbox.readStates, ReadState{RequestID: read.requestID, Lost: true})
	}
	n.leadership = leadership{round: n.leadership.round}
	n.sinceLeader = n.config.ElectionTicks
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.heard = true
	n.heartbeatElapsed = 0
	n.leadership = leadership{round: n.leadership.round, promotionFloor: n.log.lastIndex() + 1}
	n.reconcilePeers()
	n.leadership.termStart = n.appendEntry(EntryEmpty, nil).Index
}

// hearsLeader reports whether this member leads, or accepted a leader's
// message less than the shortest election timeout ago. Then it grants no vote,
// on which the leader lease rests. A member that has just started counts as
// hearing from a leader, as it may have done so before it stopped.
func (n *Node) hearsLeader() bool {
	if n.config.Safeguards.NoCheckQuorum {
		return false
	}
	return n.role == RoleLeader || n.sinceLeader < n.config.ElectionTicks
}

// refusesVote reports whether a vote request gets no answer, as there may be a leader. A
// transfer is at the leader's wish; and if all voters grant a vote, none of them leads.
func (n *Node) refusesVote(request Message) bool {
	return n.hearsLeader() && !request.Transfer && !(request.Unanimous && n.fresh())
}

// adoptTerm handles a higher term. It reports whether the message is to be
// handled further.
func (n *Node) adoptTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !message.Reject || message.Fresh {
			return true
		}
	case MessageVote:
		if n.refusesVote(message) {
			return false
		}
	}
	n.becomeFollower(message.Term, None)
	return true
}

// refuseOldTerm tells the sender of the newer term, so that an old leader
// steps down and a candidate that fell behind catches up.
func (n *Node) refuseOldTerm(message Message) {
	reply := Message{To: message.From, Reject: true}
	switch message.Kind {
	case MessagePreVote:
		reply.Kind = MessagePreVoteReply
	case MessageVote:
		reply.Kind = MessageVoteReply
	case MessageAppend, MessageHeartbeat, MessageSnapshotChunk:
		reply.Kind = MessageAppendReply
	default:
		return
	}
	n.send(reply)
}

func (n *Node) handlePreVote(message Message) {
	if n.tellRemoved(message) {
		return
	}
	sound := message.Term > n.term && n.log.isUpToDate(message.Index, message.LogTerm)
	// Of two that stand at once the lower id goes on: otherwise each would vote for
	// itself, and neither would lead.
	rival := n.role == RolePreCandidate && message.From > n.config.ID
	switch {
	case sound && !n.hearsLeader():
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term})
	case sound && n.fresh() && n.role != RoleCandidate && !rival:
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term, Reject: true, Fresh: true})
	default:
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
		return
	}
	if n.role == RolePreCandidate && !rival {
		n.role = RoleFollower
		n.resetElectionTimer()
		n.standEarly()
	}
}

func (n *Node) handlePreVoteReply(message Message) {
	if n.role != RolePreCandidate {
		return
	}
	if (!message.Reject || message.Fresh) && message.Term != n.term+1 {
		return
	}
	n.countVote(message.From, answerOf(message))
}

func answerOf(reply Message) vote {
	switch {
	case !reply.Reject:
		return voteGranted
	case reply.Fresh:
		return voteFresh
	default:
		return voteRefused
	}
}

// handleVote grants at most one vote a term, to a candidate whose log holds
// every committed entry.
func (n *Node) handleVote(message Message) {
	if n.refusesVote(message) {
		return
	}
	free := n.votedFor == message.From || n.votedFor == None && n.leader == None
	if !free || !n.log.isUpToDate(message.Index, message.LogTerm) {
		n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: true})
		return
	}
	n.votedFor = message.From
	n.resetElectionTimer()
	n.send(Message{Kind: MessageVoteReply, To: message.From})
}

func (n *Node) handleVoteReply(message Message) {
	if n.role == RoleCandidate {
		n.countVote(message.From, answerOf(message))
	}
}

// handleTimeoutNow takes over leadership at the leader's wish.
func (n *Node) handleTimeoutNow(message Message) {
	if n.role == RoleFollower && n.membership.IsVoter(n.config.ID) {
		n.campaign(Message{Transfer: true})
	}
}

// TransferLeadership hands leadership to another voter once that one has the
// whole log. Proposals are refused meanwhile; after the election timeout the
// transfer is given up. It fails with ErrNotLeader, ErrNotMember or
// ErrNotCaughtUp.
func (n *Node) TransferLeadership(to MemberID) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if to == n.config.ID {
		return nil
	}
	if !n.membership.IsVoter(to) {
		return ErrNotMember
	}
	peer := n.leadership.peers[to]
	if !n.active(peer) {
		return ErrNotCaughtUp
	}
	n.leadership.transferTo = to
	n.leadership.transferSent = false
	n.leadership.transferElapsed = 0
	n.continueTransfer()
	return nil
}

func (n *Node) continueTransfer() {
	lead := &n.leadership
	if lead.transferTo == None || lead.transferSent {
		return
	}
	peer := lead.peers[lead.transferTo]
	if peer == nil || peer.match < n.log.lastIndex() {
		return
	}
	lead.transferSent = true
	lead.leaseRevoked = true
	n.send(Message{Kind: MessageTimeoutNow, To: lead.transferTo})
}

func (n *Node) tickTransfer() {
	lead := &n.leadership
	if lead.transferTo == None {
		return
	}
	lead.transferElapsed++
	if lead.transferElapsed >= n.config.ElectionTicks {
		lead.transferTo = None
	}
}
