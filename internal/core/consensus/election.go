package consensus

// vote is a member's reply to a pre-vote or a vote request.
type vote uint8

const (
	voteRejected vote = iota
	voteGranted
	// voteRejectedJustStarted rejects a pre-vote only because the voter has just started.
	voteRejectedJustStarted
)

// startElection requests pre-votes, which change no term, or votes if pre-votes are disabled.
func (n *Node) startElection() {
	if n.config.Safeguards.NoPreVote {
		n.campaign(Message{})
		return
	}
	n.role = RolePreCandidate
	n.leader = None
	n.resetElectionTimer()
	n.useStartupTimeout()
	n.votes = map[MemberID]vote{}
	n.requestVotes(Message{Kind: MessagePreVote, Term: n.term + 1})
	n.countVote(n.config.ID, voteGranted)
}

// useStartupTimeout shortens the election timeout of a member that has just started. Such
// a member may have renewed a leader's lease before it stopped, so it needs the consent of
// all voters: if none of them leads or has had contact with a leader since it started,
// there is no leader. A group that was killed and restarted thus elects without delay.
func (n *Node) useStartupTimeout() {
	if n.justStarted() && !n.config.Safeguards.NoPreVote {
		n.electionTimeout = n.startupTimeoutTicks()
	}
}

// startupTimeoutTicks returns the election timeout of a member that has just started. Two
// ticks give the others time to start.
func (n *Node) startupTimeoutTicks() int { return 1 + n.random.intn(2) }

// justStarted reports whether this member assumes that a leader exists only because it
// has just started.
func (n *Node) justStarted() bool {
	return !n.contactedLeader && n.role != RoleLeader && n.leaderMayExist()
}

// campaign increments the term and sends request as a vote request to all voters.
func (n *Node) campaign(request Message) {
	n.term++
	n.votedFor = n.config.ID
	n.role = RoleCandidate
	n.leader = None
	n.resetElectionTimer()
	n.unanimous = request.Unanimous
	if n.unanimous {
		n.electionTimeout = n.retryTicks()
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

// countVote records a vote and ends the election once its outcome is certain.
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
	case counts[voteRejected] > len(n.membership.Voters)-needed:
		n.role = RoleFollower
	}
}

// votesNeeded returns how many votes this candidate needs.
func (n *Node) votesNeeded() int {
	if n.unanimous {
		return len(n.membership.Voters)
	}
	return n.membership.Quorum()
}

// countPreVotes requests votes once enough pre-votes are granted, or schedules a retry.
func (n *Node) countPreVotes(counts map[vote]int) {
	quorum, voters := n.membership.Quorum(), len(n.membership.Voters)
	switch {
	case counts[voteGranted] >= quorum && !n.justStarted():
		n.campaign(Message{})
	case counts[voteGranted]+counts[voteRejectedJustStarted] == voters:
		n.campaign(Message{Unanimous: true})
	case counts[voteRejected]+counts[voteRejectedJustStarted] >= quorum:
		n.electionTimeout = min(n.electionTimeout, n.electionElapsed+n.retryTicks())
		if counts[voteRejected] > 0 {
			n.role = RoleFollower
		}
	}
}

// retryTicks returns the delay before a rejected pre-vote is repeated. It is short: a
// pre-vote changes no state, and members that have just started reject it for an election
// timeout even if there is no leader.
func (n *Node) retryTicks() int {
	const retriesPerElectionTimeout = 4
	delay := max(1, n.config.ElectionTicks/retriesPerElectionTimeout)
	return delay + n.random.intn(delay)
}

// becomeFollower enters term, which is at least the current one.
func (n *Node) becomeFollower(term uint64, leader MemberID) {
	if n.role == RoleLeader {
		n.clearLeadership()
	}
	if term > n.term {
		n.term = term
		n.votedFor = None
	}
	n.role = RoleFollower
	n.leader = leader
	n.resetElectionTimer()
}

// clearLeadership discards the leader state and fails the pending reads.
func (n *Node) clearLeadership() {
	for _, read := range n.leadership.reads {
		n.outbox.readStates = append(n.outbox.readStates, ReadState{RequestID: read.requestID, Lost: true})
	}
	n.leadership = leadership{round: n.leadership.round}
	n.ticksSinceLeader = n.config.ElectionTicks
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.contactedLeader = true
	n.heartbeatElapsed = 0
	n.leadership = leadership{round: n.leadership.round, promotionFloor: n.log.lastIndex() + 1}
	n.reconcilePeers()
	n.leadership.termStart = n.appendEntry(EntryEmpty, nil).Index
}

// leaderMayExist reports whether this member leads, or accepted a leader's message less
// than the minimum election timeout ago. It then grants no vote, which the leader lease
// relies on. A member that has just started may have accepted one before it stopped.
func (n *Node) leaderMayExist() bool {
	if n.config.Safeguards.NoCheckQuorum {
		return false
	}
	return n.role == RoleLeader || n.ticksSinceLeader < n.config.ElectionTicks
}

// ignoresVoteRequest reports whether to drop a vote request because there may be a leader.
// Exceptions are a transfer, which the leader itself requests, and a unanimous vote: if
// all voters grant it, none of them leads.
func (n *Node) ignoresVoteRequest(request Message) bool {
	return n.leaderMayExist() && !request.Transfer && !(request.Unanimous && n.justStarted())
}

// adoptTerm handles a message with a higher term. It reports whether the message is to
// be processed further.
func (n *Node) adoptTerm(message Message) bool {
	switch message.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !message.Reject || message.JustStarted {
			return true
		}
	case MessageVote:
		if n.ignoresVoteRequest(message) {
			return false
		}
	}
	if n.role == RoleLeader {
		n.lastStepDown = StepDown{Reason: StepDownHigherTerm, From: message.From, Term: n.term}
	}
	n.becomeFollower(message.Term, None)
	return true
}

// rejectOldTerm replies with the current term, so that an old leader steps down and a
// candidate with an old term updates it.
func (n *Node) rejectOldTerm(message Message) {
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
	if n.replyIfRemoved(message) {
		return
	}
	eligible := message.Term > n.term && n.log.isUpToDate(message.Index, message.LogTerm)
	// Of two concurrent pre-candidates the one with the lower id continues; otherwise
	// each would vote for itself and neither would win.
	lowerPriority := n.role == RolePreCandidate && message.From > n.config.ID
	switch {
	case eligible && !n.leaderMayExist():
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term})
	case eligible && n.justStarted() && n.role != RoleCandidate && !lowerPriority:
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term, Reject: true, JustStarted: true})
	default:
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
		return
	}
	if n.role == RolePreCandidate && !lowerPriority {
		n.role = RoleFollower
		n.resetElectionTimer()
		n.useStartupTimeout()
	}
}

func (n *Node) handlePreVoteReply(message Message) {
	if n.role != RolePreCandidate {
		return
	}
	if (!message.Reject || message.JustStarted) && message.Term != n.term+1 {
		return
	}
	n.countVote(message.From, voteFromReply(message))
}

func voteFromReply(reply Message) vote {
	switch {
	case !reply.Reject:
		return voteGranted
	case reply.JustStarted:
		return voteRejectedJustStarted
	default:
		return voteRejected
	}
}

// handleVote grants at most one vote per term, to a candidate whose log holds every
// committed entry.
func (n *Node) handleVote(message Message) {
	if n.ignoresVoteRequest(message) {
		return
	}
	canVote := n.votedFor == message.From || n.votedFor == None && n.leader == None
	if !canVote || !n.log.isUpToDate(message.Index, message.LogTerm) {
		n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: true})
		return
	}
	n.votedFor = message.From
	n.resetElectionTimer()
	n.send(Message{Kind: MessageVoteReply, To: message.From})
}

func (n *Node) handleVoteReply(message Message) {
	if n.role == RoleCandidate {
		n.countVote(message.From, voteFromReply(message))
	}
}

// handleTimeoutNow starts an election at the leader's request.
func (n *Node) handleTimeoutNow(message Message) {
	if n.role == RoleFollower && n.membership.IsVoter(n.config.ID) {
		n.campaign(Message{Transfer: true})
	}
}

// TransferLeadership transfers leadership to another voter once that voter has the
// complete log. Until then proposals fail with ErrTransferring; the transfer is aborted
// after an election timeout. It fails with ErrNotLeader, ErrNotMember or ErrNotCaughtUp.
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
	if !n.caughtUp(to) {
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
