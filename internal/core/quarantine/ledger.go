package quarantine

import "slices"

const (
	// EndsUntilWithheld is after how many replicas a request is withheld. The end of one
	// says little, as all requests that it ran are suspects; two may belong to one rack. A
	// third without an answer in between is what platforms of this kind allow a request.
	EndsUntilWithheld = 3
	// MostTrials is how often a withheld request is sent again. One is enough to clear a
	// request that only ran beside the cause; the second is for one whose trial ran beside
	// another end. It leaves room for one end that nobody saw (its sender was killed), as
	// three sends after the third end are what is allowed.
	MostTrials = 2
	// sharedFrom is from how many ends on processes are told of a suspect. Each end makes
	// all that ran there suspects for a moment, which concerns only who saw it.
	sharedFrom = EndsUntilWithheld - 1
	// maxSuspects bounds the ledger: the requests in flight at 30 replicas of 16 places, so
	// that the loss of a rack does not displace what is withheld.
	maxSuspects = 512
)

// EventKind says what a process saw or asks for.
type EventKind uint8

const (
	// EventEnded says that a replica closed the connection while it ran the request.
	EventEnded EventKind = iota + 1
	// EventServed says that a replica gave the request a whole answer.
	EventServed
	// EventAlive says that a replica answered a request that was sent after it was taken to
	// have ended.
	EventAlive
	// EventTrial asks for the one send that a trial is.
	EventTrial
	// EventReleased drops a suspect: an operator's decision, or its time is over.
	EventReleased
)

// Event is one thing that a process saw or asks for.
type Event struct {
	Kind        EventKind   `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint,omitempty"`
	// Replica is the incarnation that ended, or answered.
	Replica string `cbor:"3,keyasint,omitempty"`
	// Trial numbers the trial that is asked for, from 1, and Sender names who asks: the
	// same one may ask again when the answer was lost.
	Trial  int    `cbor:"4,keyasint,omitempty"`
	Sender string `cbor:"5,keyasint,omitempty"`
}

// Suspect is a request under which replicas have ended.
type Suspect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Replicas are the incarnations that ended under it, in order.
	Replicas []string `cbor:"2,keyasint"`
	// Trials counts those that were given, Sender is who got the last one.
	Trials int    `cbor:"3,keyasint,omitempty"`
	Sender string `cbor:"4,keyasint,omitempty"`
}

// Withheld reports whether the request is not to be sent, but for a trial.
func (s *Suspect) Withheld() bool { return len(s.Replicas) >= EndsUntilWithheld }

// Ledger holds the suspects of a site, the one that was blamed last at the end. It changes
// by Apply alone, so that every holder of the same events has the same. The zero Ledger is
// empty.
type Ledger struct {
	Suspects []Suspect `cbor:"1,keyasint"`
}

// Apply takes an event in. Changed reports whether Shared gives something else now, and
// taken whether the event had any effect: a trial is the asker's if so.
func (l *Ledger) Apply(event Event) (changed, taken bool) {
	switch event.Kind {
	case EventEnded:
		return l.ended(event.Fingerprint, event.Replica)
	case EventServed, EventReleased:
		return l.release(event.Fingerprint)
	case EventAlive:
		return l.alive(event.Replica)
	case EventTrial:
		return l.trial(event)
	default:
		return false, false
	}
}

// Shared gives the suspects that processes are told of. The caller must not change them.
func (l *Ledger) Shared() []Suspect {
	var shared []Suspect
	for _, suspect := range l.Suspects {
		if len(suspect.Replicas) >= sharedFrom {
			shared = append(shared, suspect)
		}
	}
	return shared
}

func (l *Ledger) find(fingerprint Fingerprint) int {
	return slices.IndexFunc(l.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
}

func (l *Ledger) ended(fingerprint Fingerprint, replica string) (changed, taken bool) {
	suspect := Suspect{Fingerprint: fingerprint}
	suspects := slices.Clone(l.Suspects)
	if at := l.find(fingerprint); at >= 0 {
		suspect = suspects[at]
		if slices.Contains(suspect.Replicas, replica) {
			return false, false
		}
		suspects = slices.Delete(suspects, at, at+1)
	}
	suspect.Replicas = append(slices.Clone(suspect.Replicas), replica)
	l.Suspects = append(suspects, suspect)
	displaced := l.displace()
	return displaced || len(suspect.Replicas) >= sharedFrom, true
}

// displace makes room: the oldest that is not withheld goes first. It reports whether it
// was one that processes know of.
func (l *Ledger) displace() (shared bool) {
	if len(l.Suspects) <= maxSuspects {
		return false
	}
	at := max(0, slices.IndexFunc(l.Suspects, func(s Suspect) bool { return !s.Withheld() }))
	shared = len(l.Suspects[at].Replicas) >= sharedFrom
	l.Suspects = slices.Delete(l.Suspects, at, at+1)
	return shared
}

func (l *Ledger) release(fingerprint Fingerprint) (changed, taken bool) {
	at := l.find(fingerprint)
	if at < 0 {
		return false, false
	}
	changed = len(l.Suspects[at].Replicas) >= sharedFrom
	l.Suspects = slices.Delete(slices.Clone(l.Suspects), at, at+1)
	return changed, true
}

// alive takes a replica's end back from all that were blamed for it.
func (l *Ledger) alive(replica string) (changed, taken bool) {
	var kept []Suspect
	for _, suspect := range l.Suspects {
		if at := slices.Index(suspect.Replicas, replica); at >= 0 {
			taken = true
			changed = changed || len(suspect.Replicas) >= sharedFrom
			suspect.Replicas = slices.Delete(slices.Clone(suspect.Replicas), at, at+1)
		}
		if len(suspect.Replicas) > 0 {
			kept = append(kept, suspect)
		}
	}
	if taken {
		l.Suspects = kept
	}
	return changed, taken
}

// trial gives a trial to the first that asks for it.
func (l *Ledger) trial(event Event) (changed, taken bool) {
	at := l.find(event.Fingerprint)
	if at < 0 {
		return false, false
	}
	suspect := l.Suspects[at]
	if suspect.Trials == event.Trial && suspect.Sender == event.Sender {
		return false, true
	}
	if !suspect.Withheld() || event.Trial != suspect.Trials+1 || event.Trial > MostTrials {
		return false, false
	}
	suspect.Trials, suspect.Sender = event.Trial, event.Sender
	l.Suspects = slices.Clone(l.Suspects)
	l.Suspects[at] = suspect
	return true, true
}
