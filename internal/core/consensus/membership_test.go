package consensus

import (
	"errors"
	"testing"
)

func (net *network) change(kind MembershipChangeKind, member MemberID) error {
	net.t.Helper()
	_, _, err := net.node(net.leader()).ProposeMembership(MembershipChange{Kind: kind, Member: member})
	net.settle()
	return err
}

func (net *network) mustChange(kind MembershipChangeKind, member MemberID) {
	net.t.Helper()
	if err := net.change(kind, member); err != nil {
		net.t.Fatalf("change %d of member %d: %v", kind, member, err)
	}
}

func TestLearnerIsPromotedOnceCaughtUp(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	for range 20 {
		net.propose(leader, "x")
	}
	net.add(4, Restored{})
	net.isolate(4, true)
	net.mustChange(AddLearner, 4)
	net.tick(testHeartbeatTicks)
	if err := net.change(PromoteLearner, 4); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("promotion of an empty learner: %v", err)
	}
	net.isolate(4, false)
	net.tick(testElectionTicks)
	if role := net.node(4).Status().Role; role != RoleLearner {
		t.Errorf("role %v before the promotion", role)
	}
	net.mustChange(PromoteLearner, 4)
	net.tick(testHeartbeatTicks)
	if status := net.node(4).Status(); status.Role != RoleFollower || !status.Membership.IsVoter(4) {
		t.Errorf("status after the promotion: %+v", status)
	}
	net.checkState("xxxxxxxxxxxxxxxxxxxx", 1, 2, 3, 4)
	net.checkNoViolations()
}

func TestMembershipChangesRefused(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	follower := net.others(leader)[0]
	cases := []struct {
		name   string
		change MembershipChange
		want   error
	}{
		{"add a member", MembershipChange{Kind: AddLearner, Member: 2}, ErrAlreadyMember},
		{"add with a lower id", MembershipChange{Kind: AddLearner, Member: None}, ErrReusedID},
		{"promote a voter", MembershipChange{Kind: PromoteLearner, Member: 2}, ErrNotMember},
		{"remove a non-member", MembershipChange{Kind: RemoveMember, Member: 9}, ErrNotMember},
		{"no kind", MembershipChange{Member: 4}, ErrMalformed},
	}
	for _, test := range cases {
		if _, _, err := net.node(leader).ProposeMembership(test.change); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
	if _, _, err := net.node(follower).ProposeMembership(MembershipChange{Kind: AddLearner, Member: 4}); !errors.Is(err, ErrNotLeader) {
		t.Errorf("change on a follower: %v", err)
	}
	net.mustChange(AddLearner, 4)
	net.isolate(leader, true)
	if err := net.change(AddLearner, 5); err != nil {
		t.Fatal(err)
	}
	if err := net.change(AddLearner, 6); !errors.Is(err, ErrChangePending) {
		t.Errorf("change while another is pending: %v", err)
	}
}

// With one voter lost, removing an active one would leave no quorum.
func TestRemovalMustLeaveActiveQuorum(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	lost, alive := net.others(leader)[0], net.others(leader)[1]
	net.crash(lost)
	net.tick(testElectionTicks + 1)
	if err := net.change(RemoveMember, alive); !errors.Is(err, ErrUnsafeChange) {
		t.Errorf("removal of the last live follower: %v", err)
	}
	net.mustChange(RemoveMember, lost)
}

func TestRemovedMemberStops(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		net := newNetwork(t, 4, nil)
		leader := net.elect()
		removed := net.others(leader)[0]
		net.isolate(removed, cutOff)
		net.mustChange(RemoveMember, removed)
		net.tick(2 * testElectionTicks)
		net.isolate(removed, false)
		term := net.node(leader).Status().Term
		net.tick(5 * testElectionTicks)
		if role := net.node(removed).Status().Role; role != RoleRemoved {
			t.Errorf("cut off %v: role %v", cutOff, role)
		}
		if after := net.node(net.leader()).Status().Term; after != term {
			t.Errorf("cut off %v: term %d became %d", cutOff, term, after)
		}
		if err := net.change(AddLearner, removed); !errors.Is(err, ErrReusedID) {
			t.Errorf("added again under its old id: %v", err)
		}
		net.checkNoViolations()
	}
}

func TestLeaderRemovesItself(t *testing.T) {
	net := newNetwork(t, 3, nil)
	first := net.elect()
	net.mustChange(RemoveMember, first)
	net.tick(3 * testElectionTicks)
	second := net.leader()
	if second == None || second == first || net.node(first).Status().Role != RoleRemoved {
		t.Fatalf("leader is %d after leader %d became %v", second, first, net.node(first).Status().Role)
	}
	net.propose(second, "on")
	net.checkNoViolations()
}

// A group that replaced one lost member must survive the loss of another.
func TestSecondLossAfterRepair(t *testing.T) {
	net, leader, lost, second := newNetworkWithLostVoter(t)
	net.add(4, Restored{})
	net.mustChange(AddLearner, 4)
	net.tick(testElectionTicks + 1)
	net.mustChange(RemoveMember, lost)
	net.tick(testHeartbeatTicks)
	net.mustChange(PromoteLearner, 4)
	net.crash(second)
	net.tick(testElectionTicks)
	net.propose(net.elect(), "c")
	net.tick(testHeartbeatTicks)
	net.checkState("abc", leader, 4)
	net.crash(leader)
	net.start(second)
	net.propose(net.elect(), "d")
	net.tick(testHeartbeatTicks)
	net.checkState("abcd", second, 4)
	net.checkNoViolations()
}

// newNetworkWithLostVoter returns a group of three that committed "ab", one of whose voters has
// crashed after "a".
func newNetworkWithLostVoter(t *testing.T) (net *network, leader, lost, second MemberID) {
	t.Helper()
	net = newNetwork(t, 3, nil)
	leader = net.elect()
	net.propose(leader, "a")
	lost, second = net.others(leader)[0], net.others(leader)[1]
	net.crash(lost)
	net.propose(leader, "b")
	return net, leader, lost, second
}

// The successor of a lost voter becomes a voter before it has the log. Otherwise the two
// remaining voters are both needed until it has, and the loss of one of them ends the group.
func TestLossBeforeSuccessorHasTheLog(t *testing.T) {
	net, leader, lost, second := newNetworkWithLostVoter(t)
	net.add(4, Restored{})
	net.filter = func(message Message) bool { return message.To != 4 || len(message.Entries) == 0 }
	net.mustChange(AddLearner, 4)
	net.tick(testElectionTicks + 1)
	net.mustChange(RemoveMember, lost)
	if peer := net.peerStatus(leader, 4); peer.CaughtUp || peer.Match > 0 {
		t.Fatalf("the successor has the log: %+v", peer)
	}
	net.mustChange(PromoteLearner, 4)
	net.crash(second)
	net.filter = nil
	net.tick(testElectionTicks)
	net.propose(net.elect(), "c")
	net.tick(testHeartbeatTicks)
	net.checkState("abc", leader, 4)
	net.checkNoViolations()
}

// A learner that has not answered adds no vote: its machine may be gone already.
func TestPromotionNeedsAnAnswer(t *testing.T) {
	net := newNetwork(t, 2, nil)
	net.elect()
	net.add(3, Restored{})
	net.isolate(3, true)
	net.mustChange(AddLearner, 3)
	if err := net.change(PromoteLearner, 3); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("promotion of a learner that never answered: %v", err)
	}
	net.isolate(3, false)
	net.tick(testElectionTicks)
	net.mustChange(PromoteLearner, 3)
	net.checkNoViolations()
}

// A voter that lacks the log cannot take over leadership within an election timeout, and
// proposals would fail meanwhile.
func TestNoTransferToVoterWithoutTheLog(t *testing.T) {
	net := newNetwork(t, 2, nil)
	leader := net.elect()
	net.propose(leader, "a")
	net.add(3, Restored{})
	net.filter = func(message Message) bool { return message.To != 3 || len(message.Entries) == 0 }
	net.mustChange(AddLearner, 3)
	net.tick(testHeartbeatTicks)
	net.mustChange(PromoteLearner, 3)
	if err := net.node(leader).TransferLeadership(3); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("transfer to a voter without the log: %v", err)
	}
	net.propose(leader, "b")
	net.checkState("ab", leader)
}

func (net *network) peerStatus(leader, id MemberID) PeerStatus {
	net.t.Helper()
	for _, peer := range net.node(leader).Status().Progress {
		if peer.ID == id {
			return peer
		}
	}
	net.t.Fatalf("%d is no peer of %d", id, leader)
	return PeerStatus{}
}
