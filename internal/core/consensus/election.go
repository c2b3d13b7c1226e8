package consensus

// standForElection starts with a pre-vote, which changes no term.
func (n *Node) standForElection() {
	if n.config.Safeguards.NoPreVote {
		n.campaign(false)
		return
	}
	n.role = RolePreCandidate
	n.leader = None
	n.resetElectionTimer()
	n.votes = map[MemberID]bool{}
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
	n.countVote(n.config.ID, true)
}

// campaign raises the term and asks for votes.
func (n *Node) campaign(transfer bool) {
	n.term++
	n.votedFor = n.config.ID
	n.role = RoleCandidate
	n.leader = None
	n.resetElectionTimer()
	n.votes = map[MemberID]bool{}
	n.requestVotes(Message{Kind: MessageVote, Transfer: transfer})
	n.countVote(n.config.ID, true)
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

// countVote records an answer and acts once a quorum has decided.
func (n *Node) countVote(from MemberID, granted bool) {
	if _, answered := n.votes[from]; !answered {
		n.votes[from] = granted
	}
	grants, refusals := 0, 0
	for _, id := range n.membership.Voters {
		vote, answered := n.votes[id]
		if answered && vote {
			grants++
		} else if answered {
			refusals++
		}
	}
	switch {
	case grants >= n.membership.Quorum() && n.role == RolePreCandidate:
		n.campaign(false)
	case grants >= n.membership.Quorum():
		n.becomeLeader()
	case refusals >= n.membership.Quorum():
		if n.role == RolePreCandidate {
			n.electionTimeout = min(n.electionTimeout, n.electionElapsed+n.refusedPause())
		}
		n.role = RoleFollower
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

// adoptTerm handles a higher term. It reports whether the message is to be
// handled further.
func (n *Node) adoptTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !message.Reject {
			return true
		}
	case MessageVote:
		if n.hearsLeader() && !message.Transfer {
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
	if n.hearsLeader() || message.Term <= n.term || !n.log.isUpToDate(message.Index, message.LogTerm) {
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
		return
	}
	n.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term})
	if n.role == RolePreCandidate && message.From < n.config.ID {
		// Of two that stand at once the lower id goes on: otherwise each would vote
		// for itself, and neither would lead.
		n.role = RoleFollower
		n.resetElectionTimer()
	}
}

func (n *Node) handlePreVoteReply(message Message) {
	if n.role != RolePreCandidate {
		return
	}
	if !message.Reject && message.Term != n.term+1 {
		return
	}
	n.countVote(message.From, !message.Reject)
}

// handleVote grants at most one vote a term, to a candidate whose log holds
// every committed entry.
func (n *Node) handleVote(message Message) {
	if n.hearsLeader() && !message.Transfer {
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
		n.countVote(message.From, !message.Reject)
	}
}

// handleTimeoutNow takes over leadership at the leader's wish.
func (n *Node) handleTimeoutNow(message Message) {
	if n.role == RoleFollower && n.membership.IsVoter(n.config.ID) {
		n.campaign(true)
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
