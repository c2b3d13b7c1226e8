// Package coldlimit divides the request rate of a cold replica among its senders without
// coordination. A cold replica, one that just started or whose zone was idle, fails if all
// senders use it concurrently. The package does no I/O.
//
// A sender without a share of a cold replica sends it nothing. A hash of sender and
// replica decides who has a share, so that senders need no coordination and replicas have
// different senders. Each
// sender with a share limits its own requests in any second, so the total stays within the
// limit under partitions, restarts and unsynchronized clocks.
package coldlimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// runnerFraction is the fraction of the limit for the process that runs the items of jobs;
	// its successor may start within the same second.
	runnerFraction = 1.0 / 3
	// senderFraction is the average fraction for all senders of single requests together. The
	// rest absorbs the variance of the hash and an outdated number of senders. With 800 senders
	// and a third of the limit, one replica in 400 exceeded it, and one in 30 if a quarter of the
	// senders was unknown; with a fifth of the limit none did.
	senderFraction = 1.0 / 5
	// Span is the interval over which a sender counts its requests: the second of the limit
	// plus the variation of network delays.
	Span = time.Second + 100*time.Millisecond
)

// Limits are the limits of a service's cold replicas.
type Limits struct {
	// Rate is the limit of requests per second; 0 is unlimited.
	Rate float64
	// Overshoot and Slack are the tolerance: any second has at most Rate*Overshoot + Slack
	// requests.
	Overshoot float64
	Slack     float64
}

// Limited reports whether there is a limit.
func (l Limits) Limited() bool { return l.Rate > 0 }

// maxPerSecond returns the maximum number of requests in any second.
func (l Limits) maxPerSecond() float64 { return l.Rate*max(1, l.Overshoot) + max(0, l.Slack) }

// RunnerPerSpan returns the number of items that the runner may send to a cold replica
// in any Span.
func (l Limits) RunnerPerSpan() int { return max(1, int(runnerFraction*l.maxPerSecond())) }

// Share is the limit of each sender of single requests.
type Share struct {
	// PerSpan is the number of requests that a sender with a share may send in any Span.
	PerSpan int
	// Probability is the probability that a sender has a share of a replica.
	Probability float64
}

// ShareOf divides the limit among the senders; there is no share if their number is unknown.
func (l Limits) ShareOf(senders int) Share {
	if senders <= 0 {
		return Share{}
	}
	all := senderFraction * l.maxPerSecond()
	each := max(1, int(all)/senders)
	return Share{PerSpan: each, Probability: min(1, all/float64(senders*each))}
}

// Has reports whether a sender has a share of a replica.
func (s Share) Has(sender, replica string) bool {
	const bits = 53
	drawn := float64(xxhash.Sum64String(sender+"\x00"+replica)>>(64-bits)) / (1 << bits)
	return drawn < s.Probability
}

// Window counts the requests sent to a replica in the last Span. The zero Window is empty.
type Window struct {
	sent []time.Time
}

// Remaining returns how many more requests may be sent now, given the limit per Span.
func (w *Window) Remaining(limit int, now time.Time) int {
	w.expire(now)
	return max(0, limit-len(w.sent))
}

// Record records a request sent now.
func (w *Window) Record(now time.Time) {
	w.expire(now)
	w.sent = append(w.sent, now)
}

func (w *Window) expire(now time.Time) {
	old := 0
	for old < len(w.sent) && now.Sub(w.sent[old]) >= Span {
		old++
	}
	w.sent = w.sent[old:]
}
