package consensus

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader refuses a call that only the leader can serve.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrRemoved refuses a call on a member that was removed.
	ErrRemoved = errors.New("consensus: member was removed")
	// ErrTransferring refuses proposals while leadership is handed over.
	ErrTransferring = errors.New("consensus: leadership transfer under way")
	// ErrQueueFull refuses a proposal while too many entries wait for commit.
	ErrQueueFull = errors.New("consensus: too many uncommitted entries")
	// ErrTooLarge refuses a proposal larger than MaxEntryBytes.
	ErrTooLarge = errors.New("consensus: entry too large")
	// ErrChangePending refuses a membership change while another one is not
	// committed, or before the leader has committed an entry of its term.
	ErrChangePending = errors.New("consensus: membership change not possible yet")
	// ErrAlreadyMember refuses to add a member that is one.
	ErrAlreadyMember = errors.New("consensus: already a member")
	// ErrReusedID refuses to add a member under an id that was used before or
	// is lower than one that was.
	ErrReusedID = errors.New("consensus: member id not above every earlier one")
	// ErrNotMember refuses a change to, or a transfer to, a non-member.
	ErrNotMember = errors.New("consensus: not a member")
	// ErrNotCaughtUp refuses to promote a learner, or to hand leadership to a
	// voter, that is out of touch or has not synced the log.
	ErrNotCaughtUp = errors.New("consensus: member has not caught up")
	// ErrUnsafeChange refuses a membership change after which the voters in
	// touch would be no quorum.
	ErrUnsafeChange = errors.New("consensus: change would leave no active quorum")
	// ErrCompacted refuses a snapshot at or before the present one.
	ErrCompacted = errors.New("consensus: position already compacted")
	// ErrNotApplied refuses a snapshot past the applied index.
	ErrNotApplied = errors.New("consensus: position not applied")
	// ErrNoMembership refuses a snapshot on a member that joins and has not
	// yet received the group's membership.
	ErrNoMembership = errors.New("consensus: membership not known yet")
	// ErrSnapshotMismatch refuses a snapshot whose term or membership differ
	// from the log's.
	ErrSnapshotMismatch = errors.New("consensus: snapshot does not match the log")
	// ErrConfig refuses a Config that cannot work.
	ErrConfig = errors.New("consensus: invalid configuration")
	// ErrInconsistent refuses restored state that no correct member can have.
	ErrInconsistent = errors.New("consensus: restored state is inconsistent")
	// ErrCommittedConflict reports a leader that contradicts a committed
	// entry. The member has stopped; its state must be examined.
	ErrCommittedConflict = errors.New("consensus: append contradicts a committed entry")
	// ErrMalformed reports a message that no correct member sends.
	ErrMalformed = errors.New("consensus: malformed message")
)

// InconsistentError says what is wrong with restored state. It matches
// ErrInconsistent.
type InconsistentError struct {
	// Reason is a short phrase for the operator.
	Reason string
	// Index is the log position at fault, or 0.
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
