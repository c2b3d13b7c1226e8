package registry

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of the answers kept for resent changes.
const (
	// AnswerLifetime is how long an answer is kept, in the log's time, from its
	// application or the change id's birth, whichever is later.
	AnswerLifetime = 10 * time.Minute
	// MaxAnswers bounds the answers kept; the oldest go first.
	MaxAnswers = 65536
	// MaxBirthAhead is how far a change id may be ahead of the log's time. Log
	// time can lag by the length of an outage if the clock of the leader after
	// it is behind, and changes must go through then.
	MaxBirthAhead = time.Hour
)

// Digest identifies the body of a command.
type Digest [16]byte

// Answer is the remembered result of one change.
type Answer struct {
	ID     string      `cbor:"1,keyasint"`
	Birth  int64       `cbor:"2,keyasint"`
	Digest Digest      `cbor:"3,keyasint"`
	Time   int64       `cbor:"4,keyasint"` // log time of the first answer, milliseconds
	Result port.Result `cbor:"5,keyasint"`
}

// Answers remembers results by change id. An unknown id that is not younger
// than the youngest forgotten one is refused, so that a change whose answer was
// dropped is never applied a second time. The rule needs no agreement between
// the clocks of operators and members: it compares births with births.
type Answers struct {
	known map[string]int // position in queue, plus removed
	queue []Answer       // in order of application
	// removed counts the answers dropped from the queue's front so far.
	removed int
	floor   int64
	limit   int
}

// NewAnswers makes an empty store that keeps at most limit answers.
func NewAnswers(limit int) *Answers {
	return &Answers{known: map[string]int{}, limit: limit}
}

// Lookup checks a change id against what is remembered. It gives the first
// answer of a resend (found), or an error for a change that must not be applied.
func (a *Answers) Lookup(id string, digest Digest, now int64) (result port.Result, found bool, refusal *port.Error) {
	if position, known := a.known[id]; known {
		answer := a.queue[position-a.removed]
		if answer.Digest != digest {
			return port.Result{}, false, port.NewError(port.NotRun, port.CodeChangeIDReused,
				"change id %s was used for another change", id)
		}
		return answer.Result, true, nil
	}
	birth, err := ParseChangeID(id)
	if err != nil {
		return port.Result{}, false, port.AsError(err)
	}
	if birth <= a.floor {
		return port.Result{}, false, port.NewError(port.NotRun, port.CodeChangeExpired,
			"answers to changes born at or before %d are no longer kept; look at the state and send a new change", a.floor)
	}
	if birth > now+MaxBirthAhead.Milliseconds() {
		return port.Result{}, false, port.InvalidField("change_id", id, "not more than an hour ahead of the control members' time")
	}
	return port.Result{}, false, nil
}

// Remember keeps the first answer to a change.
func (a *Answers) Remember(id string, digest Digest, now int64, result port.Result) {
	birth, err := ParseChangeID(id)
	if err != nil {
		return
	}
	a.add(Answer{ID: id, Birth: birth, Digest: digest, Time: now, Result: result})
	a.Expire(now)
}

func (a *Answers) add(answer Answer) {
	a.known[answer.ID] = a.removed + len(a.queue)
	a.queue = append(a.queue, answer)
}

// Expire drops the answers past their lifetime or over the limit.
func (a *Answers) Expire(now int64) {
	drop := 0
	for drop < len(a.queue) {
		// Until log time has passed the birth too: otherwise one operator whose
		// clock is ahead would raise the floor over everybody else's births.
		start := max(a.queue[drop].Time, a.queue[drop].Birth)
		overdue := start+AnswerLifetime.Milliseconds() < now
		if !overdue && len(a.queue)-drop <= a.limit {
			break
		}
		a.floor = max(a.floor, a.queue[drop].Birth)
		delete(a.known, a.queue[drop].ID)
		a.queue[drop] = Answer{}
		drop++
	}
	a.queue = a.queue[drop:]
	a.removed += drop
}

// Len gives the number of answers kept.
func (a *Answers) Len() int { return len(a.queue) }

// Export gives the kept answers in order, and the floor, for a snapshot.
func (a *Answers) Export() (answers []Answer, floor int64) { return a.queue, a.floor }

// Import replaces the contents by those that Export gave.
func (a *Answers) Import(answers []Answer, floor int64) {
	a.known = make(map[string]int, len(answers))
	a.queue = make([]Answer, 0, len(answers))
	a.removed, a.floor = 0, floor
	for _, answer := range answers {
		a.add(answer)
	}
}
