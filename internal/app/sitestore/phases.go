package sitestore

import "time"

// phases is where the time of an item went, from when its job was taken over.
type phases struct {
	// first is how long it waited for its first replica, again for further ones.
	first, again time.Duration
	// ran is the time of runs that made text, and unused of those that made none: refused,
	// broken off before an event, or ended by a failure.
	ran, unused time.Duration
	// scored is the time from its whole text to its reward call's answer.
	scored time.Duration
	// refused and cut count runs that a replica refused, and those that were broken off or
	// left a replica.
	refused, cut int
}

// placed notes that the item found a replica after a wait.
func (p *phases) placed(waited time.Duration, first bool) {
	if first {
		p.first += waited
		return
	}
	p.again += waited
}

// ended notes the end of a run.
func (p *phases) ended(kind runKind, took time.Duration, grew bool) {
	if grew {
		p.ran += took
	} else {
		p.unused += took
	}
	switch kind {
	case runRefused:
		p.refused++
	case runBroken, runMoved, runUnfit:
		p.cut++
	default:
	}
}

// waited is how long the item was at no replica.
func (p *phases) waited() time.Duration { return p.first + p.again }
