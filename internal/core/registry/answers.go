package registry

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of the stored answers.
const (
	// ResultLifetime is how long an answer is stored, in log time, after it was applied or
	// its change id was created, whichever is later.
	ResultLifetime = 10 * time.Minute
	// MaxCachedResults limits the stored answers; the oldest are dropped first.
	MaxCachedResults = 65536
	// MaxCreatedAhead is how far a change id's creation may be ahead of log time. Log time lags
	// by the length of an outage if the clock of the next leader is behind.
	MaxCreatedAhead = time.Hour
)

// Digest identifies the body of a command.
type Digest [16]byte

// CachedResult is the stored result of a change.
type CachedResult struct {
	ID        string      `cbor:"1,keyasint"`
	CreatedAt int64       `cbor:"2,keyasint"`
	Digest    Digest      `cbor:"3,keyasint"`
	Time      int64       `cbor:"4,keyasint"` // log time of the first answer, milliseconds
	Result    port.Result `cbor:"5,keyasint"`
}

// CachedResults stores results by change id. It rejects an unknown id that is not newer than the newest
// expired one, so that a change whose answer was dropped is never applied twice. It compares
// creation times with each other and needs no synchronized clocks.
type CachedResults struct {
	positions map[string]int // position in queue, plus removed
	queue     []CachedResult // in order of application
	// removed is the number of answers dropped from the front of queue.
	removed        int
	expiredThrough int64
	limit          int
}

// NewCachedResults returns an empty store for at most limit answers.
func NewCachedResults(limit int) *CachedResults {
	return &CachedResults{positions: map[string]int{}, limit: limit}
}

// Lookup checks a change id. It returns the stored answer of a retried change (found), or an
// error for a change that must not be applied.
func (a *CachedResults) Lookup(id string, digest Digest, now int64) (result port.Result, found bool, refusal *port.Error) {
	if position, known := a.positions[id]; known {
		answer := a.queue[position-a.removed]
		if answer.Digest != digest {
			return port.Result{}, false, port.NewError(port.NotRun, port.CodeChangeIDReused,
				"change id %s was used for another change", id)
		}
		return answer.Result, true, nil
	}
	created, err := ParseChangeID(id)
	if err != nil {
		return port.Result{}, false, port.AsError(err)
	}
	if created <= a.expiredThrough {
		return port.Result{}, false, port.NewError(port.NotRun, port.CodeChangeExpired,
			"answers to changes born at or before %d are no longer kept; look at the state and send a new change", a.expiredThrough)
	}
	if created > now+MaxCreatedAhead.Milliseconds() {
		return port.Result{}, false, port.InvalidField("change_id", id, "not more than an hour ahead of the control members' time")
	}
	return port.Result{}, false, nil
}

// Store stores the first answer to a change.
func (a *CachedResults) Store(id string, digest Digest, now int64, result port.Result) {
	created, err := ParseChangeID(id)
	if err != nil {
		return
	}
	a.add(CachedResult{ID: id, CreatedAt: created, Digest: digest, Time: now, Result: result})
	a.Expire(now)
}

func (a *CachedResults) add(answer CachedResult) {
	a.positions[answer.ID] = a.removed + len(a.queue)
	a.queue = append(a.queue, answer)
}

// Expire drops the answers that are past their lifetime or over the limit.
func (a *CachedResults) Expire(now int64) {
	drop := 0
	for drop < len(a.queue) {
		// Also wait for the creation time: otherwise a client whose clock is ahead would
		// make the ids of all others count as expired.
		start := max(a.queue[drop].Time, a.queue[drop].CreatedAt)
		expired := start+ResultLifetime.Milliseconds() < now
		if !expired && len(a.queue)-drop <= a.limit {
			break
		}
		a.expiredThrough = max(a.expiredThrough, a.queue[drop].CreatedAt)
		delete(a.positions, a.queue[drop].ID)
		a.queue[drop] = CachedResult{}
		drop++
	}
	a.queue = a.queue[drop:]
	a.removed += drop
}

// Len returns the number of stored answers.
func (a *CachedResults) Len() int { return len(a.queue) }

// Export returns the stored answers in order and the newest expired creation time, for a snapshot.
func (a *CachedResults) Export() (answers []CachedResult, expiredThrough int64) {
	return a.queue, a.expiredThrough
}

// Import replaces the contents by those returned by Export.
func (a *CachedResults) Import(answers []CachedResult, expiredThrough int64) {
	a.positions = make(map[string]int, len(answers))
	a.queue = make([]CachedResult, 0, len(answers))
	a.removed, a.expiredThrough = 0, expiredThrough
	for _, answer := range answers {
		a.add(answer)
	}
}
