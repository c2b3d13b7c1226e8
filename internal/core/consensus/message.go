package consensus

// MessageKind is the kind of a Message.
type MessageKind uint8

const (
	// MessagePreVote asks whether the sender could win an election at Term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote requests a vote in Term.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries log entries that follow (Index, LogTerm).
	MessageAppend
	// MessageAppendReply acknowledges the log up to Index as durable, or
	// rejects an append because the logs differ at Index.
	MessageAppendReply
	// MessageHeartbeat maintains leadership and carries Commit.
	MessageHeartbeat
	// MessageHeartbeatReply answers MessageHeartbeat.
	MessageHeartbeatReply
	// MessageSnapshotChunk carries a chunk of a snapshot.
	MessageSnapshotChunk
	// MessageSnapshotReply requests the snapshot's bytes from Offset, or with
	// Done acknowledges the complete snapshot as durable.
	MessageSnapshotReply
	// MessageTimeoutNow requests that the receiver start an election immediately.
	MessageTimeoutNow
	// MessageRemoved informs a former member that it was removed.
	MessageRemoved
)

var messageKindNames = [...]string{"unknown", "pre-vote", "pre-vote-reply", "vote", "vote-reply", "append", "append-reply",
	"heartbeat", "heartbeat-reply", "snapshot-chunk", "snapshot-reply", "timeout-now", "removed"}

// String returns the kind's name in lower case.
func (k MessageKind) String() string {
	if int(k) < len(messageKindNames) {
		return messageKindNames[k]
	}
	return messageKindNames[0]
}

// CarriesLog reports whether messages of this kind carry the log or a snapshot, which may take
// long to send. The owner sends them on a connection of their own, in order, so that heartbeats
// and votes do not wait for them.
func (k MessageKind) CarriesLog() bool {
	return k == MessageAppend || k == MessageSnapshotChunk
}

// Message is sent between members. Kind determines which fields are set.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	To   MemberID    `cbor:"3,keyasint"`
	// Term is the sender's term; for a pre-vote, the term of the election it would
	// start.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// Index is the position before Entries (append), the last position
	// (votes), or the acknowledged or rejected position (replies).
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64 `cbor:"6,keyasint,omitempty"`
	// Commit is the sender's commit index.
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Reject is set if the sender rejects the request.
	Reject bool `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm are upper limits of the last position at which the logs may
	// agree.
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// SentTick is the leader's tick when it sent the message; replies echo it. The
	// leader lease starts at it.
	SentTick uint64 `cbor:"12,keyasint,omitempty"`
	// Round is the leader's latest read round; replies echo it.
	Round uint64 `cbor:"13,keyasint,omitempty"`
	// Transfer marks a vote request of a leadership transfer, which voters grant
	// although they have an active leader.
	Transfer bool           `cbor:"14,keyasint,omitempty"`
	Chunk    *SnapshotChunk `cbor:"15,keyasint,omitempty"`
	// Offset is how many bytes of the snapshot at Index the sender has received.
	Offset uint64 `cbor:"16,keyasint,omitempty"`
	// Done is set once the complete snapshot at Index is durable.
	Done bool `cbor:"17,keyasint,omitempty"`
	// Required is the index that a state machine must have applied to include every
	// entry that was committed when the leader sent the message.
	Required uint64 `cbor:"18,keyasint,omitempty"`
	// JustStarted marks a pre-vote rejection by a member that rejects only because it has
	// had no contact with a leader since it started.
	JustStarted bool `cbor:"19,keyasint,omitempty"`
	// Unanimous marks a vote request of a candidate that needs the vote of every voter.
	// Voters that have just started grant it, too.
	Unanimous bool `cbor:"20,keyasint,omitempty"`
}

// SnapshotChunk is a part of a snapshot's data.
type SnapshotChunk struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Offset is the position of Data in the snapshot's data, which has Total bytes.
	Offset uint64 `cbor:"4,keyasint,omitempty"`
	Total  uint64 `cbor:"5,keyasint,omitempty"`
	// Checksum is the CRC32C of the snapshot's data.
	Checksum uint32 `cbor:"6,keyasint,omitempty"`
	Data     []byte `cbor:"7,keyasint,omitempty"`
}
