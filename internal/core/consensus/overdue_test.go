package consensus

import "testing"

// slowLink holds up the data that is sent to one member, in order, as a connection does while
// it repeats lost packets. All other messages pass.
type slowLink struct {
	net  *network
	to   MemberID
	held []Message
	// entryBytes and chunkBytes count the data that was sent to the member.
	entryBytes, chunkBytes int
	// passing counts the held messages that are being delivered.
	passing int
}

func newSlowLink(net *network, to MemberID) *slowLink {
	link := &slowLink{net: net, to: to}
	net.filter = link.pass
	return link
}

// pass counts a message, and holds it if it is data, or a query that follows the data.
func (l *slowLink) pass(message Message) bool {
	if message.To != l.to || message.Kind != MessageAppend && message.Kind != MessageSnapshotChunk {
		return true
	}
	if l.passing > 0 {
		l.passing--
		return true
	}
	for _, entry := range message.Entries {
		if entry.Kind == EntryNormal {
			l.entryBytes += len(entry.Data)
		}
	}
	if message.Chunk != nil {
		l.chunkBytes += len(message.Chunk.Data)
	}
	l.held = append(l.held, message)
	return false
}

// deliver delivers the held messages.
func (l *slowLink) deliver() {
	held := l.held
	l.held, l.passing = nil, len(held)
	l.net.queue = append(l.net.queue, held...)
	l.net.settle()
}

// lose discards the held messages, as the end of a connection does.
func (l *slowLink) lose() { l.held = nil }

// newNetworkWithLearner returns a group with a log of 100 entries of 100 bytes, and a learner
// without it.
func newNetworkWithLearner(t *testing.T, adjust func(*Config)) (net *network, link *slowLink, learner MemberID) {
	net = newNetwork(t, 3, adjust)
	leader := net.elect()
	for range 100 {
		net.propose(leader, string(make([]byte, 100)))
	}
	learner = 4
	net.add(learner, Restored{})
	link = newSlowLink(net, learner)
	net.mustChange(AddLearner, learner)
	return net, link, learner
}

// caughtUpWithin delivers the held messages once every interval ticks, and returns how many
// ticks the member took to catch up.
func (l *slowLink) caughtUpWithin(limit, interval int) (ticks int, done bool) {
	leader := l.net.leader()
	l.net.tick(testHeartbeatTicks)
	for ticks := range limit {
		if l.net.peerStatus(leader, l.to).CaughtUp {
			return ticks, true
		}
		l.net.tick(1)
		if ticks%interval == interval-1 {
			l.deliver()
		}
	}
	return limit, false
}

// A connection that is only slow still delivers what was sent: sending it again made the log of
// a successor take four to seven times as long.
func TestHeldUpDataIsSentOnce(t *testing.T) {
	for _, interval := range []int{1, 4, 7, 20, 60} {
		net, link, learner := newNetworkWithLearner(t, nil)
		if _, done := link.caughtUpWithin(20*interval+40, interval); !done {
			t.Errorf("held up for %d ticks: the member did not catch up: %+v", interval, net.peerStatus(net.leader(), learner))
		}
		if peer := net.peerStatus(net.leader(), learner); peer.SentBytes < 100*100 || peer.RepeatedBytes != uint64(link.entryBytes-100*100) {
			t.Errorf("held up for %d ticks: status has %d bytes sent, %d repeated; %d were sent", interval, peer.SentBytes, peer.RepeatedBytes, link.entryBytes)
		}
		if limit := 100 * 100 * 12 / 10; link.entryBytes > limit {
			t.Errorf("held up for %d ticks: %d bytes sent for 10000 bytes of log, want at most %d", interval, link.entryBytes, limit)
		}
		net.checkNoViolations()
	}
}

// The same holds for the chunks of a snapshot.
func TestHeldUpSnapshotIsSentOnce(t *testing.T) {
	for _, interval := range []int{1, 4, 7, 20, 60} {
		net, leader, behind := newLaggingNetwork(t, func(*Config) {})
		link := newSlowLink(net, behind)
		net.start(behind)
		size := len(net.members[leader].disk.snapshot.Data)
		if _, done := link.caughtUpWithin(100*interval+100, interval); !done {
			t.Errorf("held up for %d ticks: the member did not catch up", interval)
		}
		if limit := size * 12 / 10; link.chunkBytes > limit || link.chunkBytes < size {
			t.Errorf("held up for %d ticks: %d bytes sent for a snapshot of %d bytes, want at most %d", interval, link.chunkBytes, size, limit)
		}
		net.checkNoViolations()
	}
}

// Data that was lost with its connection is sent again, once, soon after a new connection works.
func TestDataOfAnEndedConnectionIsSentAgain(t *testing.T) {
	net, link, learner := newNetworkWithLearner(t, nil)
	net.tick(1)
	for range 3 {
		link.deliver() // the position probe, and the first batch
		net.tick(1)
	}
	net.propose(net.leader(), string(make([]byte, 100)))
	link.lose()
	sent := link.entryBytes
	ticks, done := link.caughtUpWithin(100, 1)
	if limit := int(net.config.ackTimeoutTicks()) + 3*testHeartbeatTicks; !done || ticks > limit {
		t.Errorf("caught up %v after %d ticks, want at most %d: %+v", done, ticks, limit, net.peerStatus(net.leader(), learner))
	}
	if repeated := link.entryBytes - sent; repeated > 2*100*100 {
		t.Errorf("%d bytes repeated", repeated)
	}
	net.checkNoViolations()
}

// A lost acknowledgement is replaced by that of the query, without the data.
func TestLostAcknowledgementNeedsNoData(t *testing.T) {
	net, link, learner := newNetworkWithLearner(t, nil)
	lost := 0
	net.filter = func(message Message) bool {
		if message.From == learner && message.Kind == MessageAppendReply && !message.Reject && lost < 3 {
			lost++
			return false
		}
		link.pass(message)
		link.lose()
		return true
	}
	net.tick(10 * testElectionTicks)
	if status := net.peerStatus(net.leader(), learner); !status.CaughtUp || lost != 3 {
		t.Errorf("caught up %v, %d acknowledgements lost", status.CaughtUp, lost)
	}
	if link.entryBytes > 100*100*12/10 {
		t.Errorf("%d bytes sent for 10000 bytes of log", link.entryBytes)
	}
	net.checkNoViolations()
}

// Entries must not pile up before a connection that is dead: a member that does not answer
// receives none, and all of them once it answers.
func TestSilentMemberIsSentNoEntries(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	silent := net.others(leader)[0]
	net.isolate(silent, true)
	net.tick(testElectionTicks)
	sent := 0
	for range 5 * testElectionTicks {
		if _, _, err := net.node(leader).Propose([]byte("x")); err != nil {
			t.Fatal(err)
		}
		ready := net.node(leader).Ready()
		for _, message := range ready.Messages {
			if message.To == silent {
				sent += len(message.Entries)
			}
		}
		net.finishReady(leader, ready)
		net.tick(1)
	}
	if sent > 0 {
		t.Errorf("%d entries sent to a member that does not answer", sent)
	}
	net.isolate(silent, false)
	net.tick(3 * testElectionTicks)
	net.checkState(string(net.members[leader].state), silent)
	net.checkNoViolations()
}

// A member that needs the snapshot is sent it at once: entries that follow the snapshot's
// position, of up to a whole batch, were sent before it and rejected.
func TestMemberWithoutTheLogIsSentTheSnapshotFirst(t *testing.T) {
	net, leader, _ := newLaggingNetwork(t, func(c *Config) { c.RetainEntries = 20 })
	net.add(4, Restored{})
	link := newSlowLink(net, 4)
	net.mustChange(AddLearner, 4)
	for range 5 {
		net.tick(1)
		link.deliver()
	}
	if size := len(net.members[leader].disk.snapshot.Data); link.chunkBytes < size {
		t.Errorf("%d bytes of a snapshot of %d sent after 5 ticks", link.chunkBytes, size)
	}
	if link.entryBytes != len("!") {
		t.Errorf("%d bytes of commands sent for the one that follows the snapshot", link.entryBytes)
	}
	net.checkNoViolations()
}

// heldBytes returns the size of the held entries, and of the largest message.
func (l *slowLink) heldBytes() (total, largest int) {
	for _, message := range l.held {
		size := 0
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		total, largest = total+size, max(largest, size)
	}
	return total, largest
}

// A message of 1 MB took longer on a link that loses packets than its connection may be idle:
// the connection was closed and the message began again. What is under way must fit the link: it
// shrinks while acknowledgements are overdue, and grows with each that arrives.
func TestWindowFollowsTheLink(t *testing.T) {
	const entryBytes, entries = 10 << 10, 2000
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	for range entries {
		net.propose(leader, string(make([]byte, entryBytes)))
	}
	net.add(4, Restored{})
	link := newSlowLink(net, 4)
	net.mustChange(AddLearner, 4)
	rounds := func(count, interval int) (most int) {
		for range count {
			for range interval {
				net.tick(1)
				total, largest := link.heldBytes()
				if largest > defaultMaxBatchBytes+entryBytes {
					t.Fatalf("a message of %d bytes", largest)
				}
				most = max(most, total)
			}
			link.deliver()
		}
		return most
	}
	overdue := 4 * int(net.config.ackTimeoutTicks())
	const limit = minWindowBytes + defaultMaxBatchBytes
	if most := rounds(5, overdue); most > limit {
		t.Errorf("%d bytes under way before the link is known", most)
	}
	if most := rounds(10, 1); most < maxWindowBytes/2 {
		t.Errorf("at most %d bytes under way on a fast link", most)
	}
	rounds(2, overdue)
	if most := rounds(3, overdue); most > limit {
		t.Errorf("%d bytes under way on a link with overdue acknowledgements", most)
	}
	net.checkNoViolations()
}
