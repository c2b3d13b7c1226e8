package consensus

// ProgressState is the mode in which a leader sends the log to one member.
type ProgressState uint8

const (
	// ProgressProbe sends one message at a time until the logs match.
	ProgressProbe ProgressState = iota
	// ProgressReplicate pipelines appends without waiting for acknowledgements.
	ProgressReplicate
	// ProgressSnapshot sends a snapshot in chunks.
	ProgressSnapshot
)

var progressStateNames = [...]string{"probe", "replicate", "snapshot"}

// String returns the state's name in lower case.
func (s ProgressState) String() string {
	if int(s) < len(progressStateNames) {
		return progressStateNames[s]
	}
	return "unknown"
}

// progress is a leader's view of one other member.
type progress struct {
	match uint64
	next  uint64
	state ProgressState
	// inflight holds the unacknowledged appends, and inflightBytes their size.
	inflight      []inflightAppend
	inflightBytes uint64
	// window limits the unacknowledged bytes. Acknowledgements of entries up to recoverIndex,
	// and of a snapshot's bytes up to recoverOffset, do not enlarge it: they were under way
	// when it shrank.
	window                      uint64
	recoverIndex, recoverOffset uint64
	// waiting is set while a probe or a snapshot chunk is unacknowledged.
	waiting bool
	// progressTick is the tick of the last acknowledgement or query, or of the first message
	// sent while nothing was outstanding.
	progressTick uint64
	// probeEnd is the last index that the outstanding probe carries, and probeTick the tick
	// at which it was sent.
	probeEnd  uint64
	probeTick uint64
	// contactTick is the tick of the member's last reply in this term.
	contactTick uint64
	// missedTicks counts the ticks since contactTick that the leader missed.
	missedTicks uint64
	// leaseTick is the latest SentTick that the member acknowledged, or 0.
	leaseTick uint64
	// round is the latest read round that the member acknowledged.
	round uint64
	// sentCommit is the highest commit index sent.
	sentCommit uint64
	snapshot   *Snapshot
	checksum   uint32
	// offset counts the snapshot's acknowledged bytes and sent those sent; resentTick is
	// the tick of the last resend from offset, and resumed is set until a chunk that was
	// resent is acknowledged.
	offset     uint64
	sent       uint64
	resentTick uint64
	resumed    bool
	// lastSent is the last entry sent, and chunkEnd the end of the snapshot's bytes sent, for
	// the statistics sentBytes and repeatedBytes.
	lastSent, chunkEnd       uint64
	sentBytes, repeatedBytes uint64
	// removalIndex is the index of the entry that removes the member, or 0.
	removalIndex uint64
}

// inflightAppend is an unacknowledged append.
type inflightAppend struct {
	last  uint64
	bytes uint64
}

func (p *progress) sentAppend(sent inflightAppend) {
	p.inflight = append(p.inflight, sent)
	p.inflightBytes += sent.bytes
}

// growWindow enlarges the window by acknowledged bytes.
func (p *progress) growWindow(bytes uint64) { p.window = min(maxWindowBytes, p.window+bytes) }

// shrinkWindow halves the window after an overdue acknowledgement.
func (p *progress) shrinkWindow() {
	p.window = max(minWindowBytes, p.window/2)
	p.recoverIndex, p.recoverOffset = p.lastSent, p.sent
}

// ticksSinceContact returns the ticks since the member's last reply, without those that
// the leader missed.
func (p *progress) ticksSinceContact(now uint64) uint64 { return now - p.contactTick - p.missedTicks }

// answered reports whether the member has answered a message of this leader.
func (p *progress) answered() bool { return p.leaseTick > 0 }

func (p *progress) becomeProbe() {
	p.state = ProgressProbe
	p.next = p.match + 1
	p.probeEnd = p.match
	p.inflight, p.inflightBytes = nil, 0
	p.waiting = false
	p.snapshot = nil
	p.offset, p.sent, p.resumed = 0, 0, false
}

func (p *progress) becomeReplicate() {
	p.state = ProgressReplicate
	p.next = p.match + 1
	p.inflight, p.inflightBytes = nil, 0
	p.waiting = false
	p.snapshot = nil
}

func (p *progress) becomeSnapshot(snapshot *Snapshot, checksum uint32) {
	p.becomeProbe()
	p.state = ProgressSnapshot
	p.snapshot, p.chunkEnd, p.recoverOffset = snapshot, 0, 0
	p.checksum = checksum
}

func (p *progress) outstanding() bool {
	return p.waiting || len(p.inflight) > 0
}

// recordEntries counts entries that are sent.
func (p *progress) recordEntries(entries []Entry) {
	for i := range entries {
		size := uint64(len(entries[i].Data))
		p.sentBytes += size
		if entries[i].Index <= p.lastSent {
			p.repeatedBytes += size
		}
		p.lastSent = max(p.lastSent, entries[i].Index)
	}
}

// recordChunk counts the bytes of the snapshot from the position sent to end, which are sent.
func (p *progress) recordChunk(end uint64) {
	p.sentBytes += end - p.sent
	p.repeatedBytes += min(end, max(p.chunkEnd, p.sent)) - p.sent
	p.chunkEnd = max(p.chunkEnd, end)
}

// answersProbe reports whether a rejection is of the outstanding probe, or of a query sent
// after it.
func (p *progress) answersProbe(rejection Message) bool {
	return rejection.SentTick >= p.probeTick && (rejection.Index == p.next-1 || rejection.Index == p.probeEnd)
}

// acknowledge records that the member's log is durable up to index. It reports whether
// that advances match.
func (p *progress) acknowledge(index uint64) bool {
	acked := 0
	for acked < len(p.inflight) && p.inflight[acked].last <= index {
		p.inflightBytes -= p.inflight[acked].bytes
		if p.inflight[acked].last > p.recoverIndex {
			p.growWindow(p.inflight[acked].bytes)
		}
		acked++
	}
	p.inflight = p.inflight[acked:]
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}
