package chaos

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// Weakness names a safeguard to disable. Only tests set one other than WeaknessNone.
type Weakness string

// The weaknesses.
const (
	WeaknessNone Weakness = ""
	// WeaknessSkipSync sends messages before their entries are synced.
	WeaknessSkipSync Weakness = "skip-sync"
	// WeaknessNoPreVote lets a returning member raise the term.
	WeaknessNoPreVote Weakness = "no-pre-vote"
	// WeaknessNoCheckQuorum lets a leader without a quorum keep leading.
	WeaknessNoCheckQuorum Weakness = "no-check-quorum"
	// WeaknessNoDeduplication sends each retry with a new change id.
	WeaknessNoDeduplication Weakness = "no-deduplication"
	// WeaknessIgnoreFence lets the back end accept orders under any fence.
	WeaknessIgnoreFence Weakness = "ignore-fence"
	// WeaknessObserversGoBack lets observers accept any view that they receive.
	WeaknessObserversGoBack Weakness = "observers-go-back"
	// WeaknessLocalReads serves reads from any member without the leader.
	WeaknessLocalReads Weakness = "local-reads"
	// WeaknessSameID lets a machine that lost its disk rejoin under its old id.
	WeaknessSameID Weakness = "same-id"
	// WeaknessConfirmBehind lets a lagging member confirm its view.
	WeaknessConfirmBehind Weakness = "confirm-behind"
	// WeaknessStaleStart sends any member's view to a restarted observer.
	WeaknessStaleStart Weakness = "stale-start"
	// WeaknessNoTimeJump lets leases expire early when the log's time jumps.
	WeaknessNoTimeJump Weakness = "no-time-jump"
	// WeaknessKeepTornTail keeps a torn write at the end of the log.
	WeaknessKeepTornTail Weakness = "keep-torn-tail"
	// WeaknessLeaderReads serves reads on a leader without proof that it still leads, and
	// lets a leader without a quorum keep leading.
	WeaknessLeaderReads Weakness = "leader-reads"
	// WeaknessOmitCachedResults omits the cached results from snapshots.
	WeaknessOmitCachedResults Weakness = "forget-answers"
)

// untruncatedFileSystem is a file system on which truncating a file has no effect.
type untruncatedFileSystem struct{ wal.FileSystem }

// OpenAppend implements wal.FileSystem.
func (k untruncatedFileSystem) OpenAppend(name string) (wal.File, error) {
	file, err := k.FileSystem.OpenAppend(name)
	return untruncatedFile{file}, err
}

type untruncatedFile struct{ wal.File }

// Truncate implements wal.File.
func (untruncatedFile) Truncate(int64) error { return nil }

// cachedResultsKey is the key of the cached results in a snapshot of the control state.
const cachedResultsKey = 12

// withoutCachedResults removes the cached results from a snapshot.
func withoutCachedResults(snapshot []byte) []byte {
	var fields map[uint64]cbor.RawMessage
	if cbor.Unmarshal(snapshot, &fields) != nil {
		return snapshot
	}
	delete(fields, cachedResultsKey)
	changed, err := cbor.Marshal(fields)
	if err != nil {
		return snapshot
	}
	return changed
}
