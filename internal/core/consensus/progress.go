package consensus

// ProgressState says how a leader sends the log to one member.
type ProgressState uint8

const (
	// ProgressProbe sends one message at a time until the logs meet.
	ProgressProbe ProgressState = iota
	// ProgressReplicate sends ahead of the acknowledgements.
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

// progress is what a leader knows about one other member.
type progress struct {
	match uint64
	next  uint64
	state ProgressState
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// waiting is set while a probe or a snapshot chunk is unacknowledged.
	waiting bool
	// progressTick is when something was last acknowledged, or sent after
	// nothing was outstanding.
	progressTick uint64
	// contactTick is when the member last answered in this term.
	contactTick uint64
	// missed counts the ticks since contactTick in which the leader was held up.
	missed uint64
	// leaseTick is the latest SentTick that the member answered; 0 is none.
	leaseTick uint64
	// round is the latest read round that the member answered.
	round uint64
	// sentCommit is the highest commit index that was sent.
	sentCommit uint64
	snapshot   *Snapshot
	checksum   uint32
	// offset is how much of the snapshot is acknowledged, sent how much was sent; resentTick
	// is when it was last sent again from offset on.
	offset     uint64
	sent       uint64
	resentTick uint64
	// departing is the index of the entry that removes the member, or 0.
	departing uint64
}

// silentFor gives how many ticks the member has been silent while the leader would
// have heard it.
func (p *progress) silentFor(now uint64) uint64 { return now - p.contactTick - p.missed }

func (p *progress) becomeProbe() {
	p.state = ProgressProbe
	p.next = p.match + 1
	p.inflight = nil
	p.waiting = false
	p.snapshot = nil
	p.offset, p.sent = 0, 0
}

func (p *progress) becomeReplicate() {
	p.state = ProgressReplicate
	p.next = p.match + 1
	p.inflight = nil
	p.waiting = false
	p.snapshot = nil
}

func (p *progress) becomeSnapshot(snapshot *Snapshot, checksum uint32) {
	p.becomeProbe()
	p.state = ProgressSnapshot
	p.snapshot = snapshot
	p.checksum = checksum
}

func (p *progress) outstanding() bool {
	return p.waiting || len(p.inflight) > 0
}

// acknowledge records that the member's log is durable up to index. It
// reports whether that is news.
func (p *progress) acknowledge(index uint64) bool {
	free := 0
	for free < len(p.inflight) && p.inflight[free] <= index {
		free++
	}
	p.inflight = p.inflight[free:]
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}
