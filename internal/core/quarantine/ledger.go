package quarantine

import "slices"

const (
	// CrashesUntilWithheld is the number of crashed replicas after which a request is withheld.
	// A crash makes all requests in flight on the replica suspects; two replicas may crash
	// together because they share a rack. Platforms of this kind allow a request a third crash
	// without a response in between.
	CrashesUntilWithheld = 3
	// MaxTrials is the maximum number of trials of a withheld request. The second one is for
	// a request whose first trial ran concurrently with another crash. Three sends are allowed
	// after the third crash; the spare one is for a crash that was not recorded because its
	// sender was killed.
	MaxTrials = 2
	// shareThreshold is the number of crashes from which all processes receive a suspect. After
	// a single crash, all requests in flight on the replica are suspects for a short time.
	shareThreshold = CrashesUntilWithheld - 1
	// maxSuspects limits the ledger. It is about the number of requests in flight in a rack (30
	// replicas of 16 slots), so that the loss of a rack does not evict withheld requests.
	maxSuspects = 512
)

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventCrashed means that a replica closed the connection while it ran the request.
	EventCrashed EventKind = iota + 1
	// EventServed means that a replica sent a complete response to the request.
	EventServed
	// EventAlive means that a replica responded to a request sent after its presumed crash.
	EventAlive
	// EventTrial requests a trial, a single send of a withheld request.
	EventTrial
	// EventReleased removes a suspect, on an operator's decision or after its retention.
	EventReleased
)

// Event is an observation or a request of a process.
type Event struct {
	Kind        EventKind   `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint,omitempty"`
	// Replica is the incarnation that crashed or responded.
	Replica string `cbor:"3,keyasint,omitempty"`
	// Trial is the number of the requested trial, from 1, and Sender the requesting process,
	// which may repeat the request if the response was lost.
	Trial  int    `cbor:"4,keyasint,omitempty"`
	Sender string `cbor:"5,keyasint,omitempty"`
}

// Suspect is a request during which replicas crashed.
type Suspect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Replicas are the incarnations that crashed during it, in order.
	Replicas []string `cbor:"2,keyasint"`
	// Trials is the number of granted trials, Sender the process that got the last one.
	Trials int    `cbor:"3,keyasint,omitempty"`
	Sender string `cbor:"4,keyasint,omitempty"`
}

// Withheld reports whether the request must not be sent, except as a trial.
func (s *Suspect) Withheld() bool { return len(s.Replicas) >= CrashesUntilWithheld }

// Ledger holds the suspects of a site, the most recent one last. It changes only by Apply, so
// that equal events produce equal ledgers. The zero Ledger is empty.
type Ledger struct {
	Suspects []Suspect `cbor:"1,keyasint"`
}

// Apply applies an event. It reports whether the result of Shared changed, and whether the event
// had an effect; a trial that had one is granted to the sender.
func (l *Ledger) Apply(event Event) (changed, applied bool) {
	switch event.Kind {
	case EventCrashed:
		return l.recordCrash(event.Fingerprint, event.Replica)
	case EventServed, EventReleased:
		return l.release(event.Fingerprint)
	case EventAlive:
		return l.recordAlive(event.Replica)
	case EventTrial:
		return l.grantTrial(event)
	default:
		return false, false
	}
}

// Shared returns the suspects that all processes receive. The caller must not modify them.
func (l *Ledger) Shared() []Suspect {
	var shared []Suspect
	for _, suspect := range l.Suspects {
		if len(suspect.Replicas) >= shareThreshold {
			shared = append(shared, suspect)
		}
	}
	return shared
}

func (l *Ledger) find(fingerprint Fingerprint) int {
	return slices.IndexFunc(l.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
}

func (l *Ledger) recordCrash(fingerprint Fingerprint, replica string) (changed, applied bool) {
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
	evicted := l.evict()
	return evicted || len(suspect.Replicas) >= shareThreshold, true
}

// evict removes a suspect if the ledger is over its limit: the oldest, preferably one that is not
// withheld. It reports whether the suspect was shared.
func (l *Ledger) evict() (shared bool) {
	if len(l.Suspects) <= maxSuspects {
		return false
	}
	at := max(0, slices.IndexFunc(l.Suspects, func(s Suspect) bool { return !s.Withheld() }))
	shared = len(l.Suspects[at].Replicas) >= shareThreshold
	l.Suspects = slices.Delete(l.Suspects, at, at+1)
	return shared
}

func (l *Ledger) release(fingerprint Fingerprint) (changed, applied bool) {
	at := l.find(fingerprint)
	if at < 0 {
		return false, false
	}
	changed = len(l.Suspects[at].Replicas) >= shareThreshold
	l.Suspects = slices.Delete(slices.Clone(l.Suspects), at, at+1)
	return changed, true
}

// recordAlive removes a replica from the crashes of all suspects.
func (l *Ledger) recordAlive(replica string) (changed, applied bool) {
	var remaining []Suspect
	for _, suspect := range l.Suspects {
		if at := slices.Index(suspect.Replicas, replica); at >= 0 {
			applied = true
			changed = changed || len(suspect.Replicas) >= shareThreshold
			suspect.Replicas = slices.Delete(slices.Clone(suspect.Replicas), at, at+1)
		}
		if len(suspect.Replicas) > 0 {
			remaining = append(remaining, suspect)
		}
	}
	if applied {
		l.Suspects = remaining
	}
	return changed, applied
}

// grantTrial grants a trial to the first sender that requests it.
func (l *Ledger) grantTrial(event Event) (changed, applied bool) {
	at := l.find(event.Fingerprint)
	if at < 0 {
		return false, false
	}
	suspect := l.Suspects[at]
	if suspect.Trials == event.Trial && suspect.Sender == event.Sender {
		return false, true
	}
	if !suspect.Withheld() || event.Trial != suspect.Trials+1 || event.Trial > MaxTrials {
		return false, false
	}
	suspect.Trials, suspect.Sender = event.Trial, event.Sender
	l.Suspects = slices.Clone(l.Suspects)
	l.Suspects[at] = suspect
	return true, true
}
