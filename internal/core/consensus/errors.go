package consensus

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader is returned for a call that only the leader can serve.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrRemoved is returned for a call on a removed member.
	ErrRemoved = errors.New("consensus: member was removed")
	// ErrTransferring is returned for a proposal during a leadership transfer.
	ErrTransferring = errors.New("consensus: leadership transfer in progress")
	// ErrQueueFull is returned if too many entries are uncommitted or too many reads pending.
	ErrQueueFull = errors.New("consensus: too many uncommitted entries")
	// ErrTooLarge is returned for a proposal larger than MaxEntryBytes.
	ErrTooLarge = errors.New("consensus: entry too large")
	// ErrChangePending is returned for a membership change while another one is
	// uncommitted, or before the leader has committed an entry of its term.
	ErrChangePending = errors.New("consensus: membership change not possible yet")
	// ErrAlreadyMember is returned if the member to be added is one already.
	ErrAlreadyMember = errors.New("consensus: already a member")
	// ErrReusedID is returned if the id of the member to be added is not higher than
	// every id used before.
	ErrReusedID = errors.New("consensus: member id not higher than every earlier one")
	// ErrNotMember is returned for a change of, or a transfer to, a non-member.
	ErrNotMember = errors.New("consensus: not a member")
	// ErrNotCaughtUp is returned if the learner to be promoted or the voter to become
	// leader is inactive or lacks log entries.
	ErrNotCaughtUp = errors.New("consensus: member has not caught up")
	// ErrUnsafeChange is returned for a membership change after which the active voters
	// would not form a quorum.
	ErrUnsafeChange = errors.New("consensus: change would leave no active quorum")
	// ErrCompacted is returned for a snapshot at or before the current one.
	ErrCompacted = errors.New("consensus: position already compacted")
	// ErrNotApplied is returned for a snapshot past the applied index.
	ErrNotApplied = errors.New("consensus: position not applied")
	// ErrNoMembership is returned for a snapshot on a joining member that has not yet
	// received the group's membership.
	ErrNoMembership = errors.New("consensus: membership not known yet")
	// ErrSnapshotMismatch is returned for a snapshot whose term or membership differs
	// from the log's.
	ErrSnapshotMismatch = errors.New("consensus: snapshot does not match the log")
	// ErrConfig is returned for an invalid Config.
	ErrConfig = errors.New("consensus: invalid configuration")
	// ErrInconsistent is returned for restored state that no correct member can have.
	ErrInconsistent = errors.New("consensus: restored state is inconsistent")
	// ErrCommittedConflict is returned if a leader's append contradicts a committed
	// entry. The member has stopped; its state must be examined.
	ErrCommittedConflict = errors.New("consensus: append contradicts a committed entry")
	// ErrMalformed is returned for a message that no correct member sends.
	ErrMalformed = errors.New("consensus: malformed message")
)

// InconsistentError describes the fault in restored state. It matches ErrInconsistent.
type InconsistentError struct {
	// Reason is a short description for the operator.
	Reason string
	// Index is the faulty log position, or 0.
	Index uint64
}

// Error implements error.
func (e *InconsistentError) Error() string {
	return fmt.Sprintf("%v: %s (index %d)", ErrInconsistent, e.Reason, e.Index)
}

// Is reports whether target is ErrInconsistent.
func (e *InconsistentError) Is(target error) bool {
	return target == ErrInconsistent
}
