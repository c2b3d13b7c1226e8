package consensus

// MessageKind says what a Message asks or answers.
type MessageKind uint8

const (
	// MessagePreVote asks whether the sender could win an election at Term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote in Term.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries log entries that follow (Index, LogTerm).
	MessageAppend
	// MessageAppendReply acknowledges the log up to Index as durable, or
	// rejects an append that did not fit at Index.
	MessageAppendReply
	// MessageHeartbeat keeps the leader's followers and carries Commit.
	MessageHeartbeat
	// MessageHeartbeatReply answers MessageHeartbeat.
	MessageHeartbeatReply
	// MessageSnapshotChunk carries a part of a snapshot.
	MessageSnapshotChunk
	// MessageSnapshotReply asks for the snapshot's bytes from Offset, or with
	// Done acknowledges the whole of it as durable.
	MessageSnapshotReply
	// MessageTimeoutNow asks the receiver to stand for election at once.
	MessageTimeoutNow
	// MessageRemoved tells a former member that it was removed.
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

// Message is what members send each other. Which fields are set depends on
// Kind.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	To   MemberID    `cbor:"3,keyasint"`
	// Term is the sender's term; for a pre-vote the term that it would
	// stand in.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// Index is the position before Entries (append), the last position
	// (votes), or the position that is acknowledged or rejected (replies).
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64 `cbor:"6,keyasint,omitempty"`
	// Commit is the commit index that the sender knows of.
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	// Reject is set in a refusal.
	Reject bool `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm tell the leader where to look for the last
	// position at which the logs agree.
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// SentTick is the leader's tick when it sent the message; replies carry
	// it back. The leader lease counts from it.
	SentTick uint64 `cbor:"12,keyasint,omitempty"`
	// Round is the leader's latest read round; replies carry it back.
	Round uint64 `cbor:"13,keyasint,omitempty"`
	// Transfer marks a vote request of a leadership transfer, which voters
	// grant although they hear from a leader.
	Transfer bool           `cbor:"14,keyasint,omitempty"`
	Chunk    *SnapshotChunk `cbor:"15,keyasint,omitempty"`
	// Offset is how many bytes of the snapshot at Index have arrived.
	Offset uint64 `cbor:"16,keyasint,omitempty"`
	// Done is set once the whole snapshot at Index is durable.
	Done bool `cbor:"17,keyasint,omitempty"`
	// Required is the position that a state must have applied to show every
	// entry that was committed when the leader sent the message.
	Required uint64 `cbor:"18,keyasint,omitempty"`
	// Fresh marks the refusal of a pre-vote by a member that would grant it, had it not
	// just started: it has heard no leader since.
	Fresh bool `cbor:"19,keyasint,omitempty"`
	// Unanimous marks a vote request of a candidate that leads only if every voter
	// grants it. Voters do so though they have just started.
	Unanimous bool `cbor:"20,keyasint,omitempty"`
}

// SnapshotChunk is a part of a snapshot's data.
type SnapshotChunk struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	// Offset is where Data belongs in the whole, of Total bytes.
	Offset uint64 `cbor:"4,keyasint,omitempty"`
	Total  uint64 `cbor:"5,keyasint,omitempty"`
	// Checksum is the CRC32C of the whole data.
	Checksum uint32 `cbor:"6,keyasint,omitempty"`
	Data     []byte `cbor:"7,keyasint,omitempty"`
}
