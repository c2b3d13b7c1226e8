// Package coldshare divides the few requests that a cold replica bears among those who may
// send to it, without a word between them: a replica that has just started, or whose zone was
// not used for a while, falls over when all senders come at once. The package is pure.
//
// A sender that has no share of a cold replica sends it nothing. Who has one is drawn by a
// hash of sender and replica, so that each sender knows by itself and different replicas have
// different senders; each that has one keeps to a bound of its own over any second. The sum
// over all senders holds whatever part of them is cut off, late or new, and whenever they
// send: no clock is shared.
package coldshare

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// runnerPart is the part of the bound that the one process has which runs the items of
	// jobs at a replica: its successor may begin within the same second.
	runnerPart = 1.0 / 3
	// senderPart is the part that all senders of single requests have together on average.
	// How many have a share of a replica varies by the draw: at a third of the bound, one
	// replica in 400 got more than it bears of 800 senders, and one in 30 where a quarter
	// of them was not known; at a fifth none did.
	senderPart = 1.0 / 5
	// Span is the time over which a sender counts its requests: the second for which the
	// bound holds, and what two of them may come closer to each other on their way.
	Span = time.Second + 100*time.Millisecond
)

// Limits say what cold replicas of a service bear.
type Limits struct {
	// Rate is how many requests a second; 0 is no bound.
	Rate float64
	// Overshoot and Slack are by how much a second may go beyond it: a second has at most
	// Rate*Overshoot + Slack requests.
	Overshoot float64
	Slack     float64
}

// Bounded reports whether there is anything to divide.
func (l Limits) Bounded() bool { return l.Rate > 0 }

// bound is the most requests in any second.
func (l Limits) bound() float64 { return l.Rate*max(1, l.Overshoot) + max(0, l.Slack) }

// RunnerPerSpan is how many items the one process that runs them sends a cold replica over
// any Span.
func (l Limits) RunnerPerSpan() int { return max(1, int(runnerPart*l.bound())) }

// Share is what each of the senders of single requests may do.
type Share struct {
	// PerSpan is how many requests one that has a share sends a replica over any Span.
	PerSpan int
	// Chance is how likely a sender has a share of a replica.
	Chance float64
}

// ShareOf divides among so many senders; none is had where their number is not known.
func (l Limits) ShareOf(senders int) Share {
	if senders <= 0 {
		return Share{}
	}
	all := senderPart * l.bound()
	each := max(1, int(all)/senders)
	return Share{PerSpan: each, Chance: min(1, all/float64(senders*each))}
}

// Has reports whether a sender has a share of a replica.
func (s Share) Has(sender, replica string) bool {
	const bits = 53
	drawn := float64(xxhash.Sum64String(sender+"\x00"+replica)>>(64-bits)) / (1 << bits)
	return drawn < s.Chance
}

// Window counts what was sent to one replica over the last Span. The zero Window is empty.
type Window struct {
	sent []time.Time
}

// Room is how many further requests may be sent now, of so many over a Span.
func (w *Window) Room(most int, now time.Time) int {
	w.forget(now)
	return max(0, most-len(w.sent))
}

// Note counts a request that is sent now.
func (w *Window) Note(now time.Time) {
	w.forget(now)
	w.sent = append(w.sent, now)
}

func (w *Window) forget(now time.Time) {
	old := 0
	for old < len(w.sent) && now.Sub(w.sent[old]) >= Span {
		old++
	}
	w.sent = w.sent[old:]
}
