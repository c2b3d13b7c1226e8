package chaos

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// Weakness names a safeguard that is taken away. Only tests use others than
// WeaknessNone.
type Weakness string

// The weaknesses.
const (
	WeaknessNone Weakness = ""
	// WeaknessSkipSync sends messages without a sync before them.
	WeaknessSkipSync Weakness = "skip-sync"
	// WeaknessNoPreVote lets a member that comes back raise the term.
	WeaknessNoPreVote Weakness = "no-pre-vote"
	// WeaknessNoCheckQuorum lets a leader go on without a quorum.
	WeaknessNoCheckQuorum Weakness = "no-check-quorum"
	// WeaknessNoDeduplication gives each resend a change id of its own.
	WeaknessNoDeduplication Weakness = "no-deduplication"
	// WeaknessIgnoreFence lets the back end take orders under any fence.
	WeaknessIgnoreFence Weakness = "ignore-fence"
	// WeaknessObserversGoBack lets observers take any view they are sent.
	WeaknessObserversGoBack Weakness = "observers-go-back"
	// WeaknessLocalReads answers reads from any member without the leader.
	WeaknessLocalReads Weakness = "local-reads"
	// WeaknessSameID lets a machine that lost its disk rejoin under its old id.
	WeaknessSameID Weakness = "same-id"
	// WeaknessConfirmBehind lets a member that lags confirm its view.
	WeaknessConfirmBehind Weakness = "confirm-behind"
	// WeaknessStaleStart gives an observer that restarted any member's view.
	WeaknessStaleStart Weakness = "stale-start"
	// WeaknessNoTimeJump lets leases end early when the log's time jumps.
	WeaknessNoTimeJump Weakness = "no-time-jump"
	// WeaknessKeepTornTail leaves a torn write at the end of the log.
	WeaknessKeepTornTail Weakness = "keep-torn-tail"
	// WeaknessLeaderReads answers reads on a leader without proof that it still
	// leads, and lets it go on without a quorum.
	WeaknessLeaderReads Weakness = "leader-reads"
	// WeaknessForgetAnswers leaves the kept answers out of snapshots.
	WeaknessForgetAnswers Weakness = "forget-answers"
)

// keepTail is a file system that does not cut files off.
type keepTail struct{ wal.FileSystem }

// OpenAppend implements wal.FileSystem.
func (k keepTail) OpenAppend(name string) (wal.File, error) {
	file, err := k.FileSystem.OpenAppend(name)
	return keptFile{file}, err
}

type keptFile struct{ wal.File }

// Truncate implements wal.File.
func (keptFile) Truncate(int64) error { return nil }

// answersKey is the key of the kept answers in a snapshot of the control state.
const answersKey = 12

// withoutAnswers drops the kept answers from a snapshot.
func withoutAnswers(snapshot []byte) []byte {
	var fields map[uint64]cbor.RawMessage
	if cbor.Unmarshal(snapshot, &fields) != nil {
		return snapshot
	}
	delete(fields, answersKey)
	changed, err := cbor.Marshal(fields)
	if err != nil {
		return snapshot
	}
	return changed
}
