package placement

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/scheduling"
)

// Counts are a node's own counts of what it sent to a replica, or to a zone, and
// saw the end of.
type Counts struct{ Sent, Finished int64 }

// Mark is what the counts were when a word of the replica was made.
type Mark struct {
	Counts
	Reported time.Time
}

// reportSlack is the least time between two words of a replica; closer ones are
// the same word, whose age was measured twice.
const reportSlack = time.Millisecond

// Follow gives the mark for a word made at reported: the known one if the word
// isn't newer.
func (m Mark) Follow(reported time.Time, counts Counts) Mark {
	if !m.Reported.IsZero() && !reported.After(m.Reported.Add(reportSlack)) {
		return m
	}
	return Mark{Counts: counts, Reported: reported}
}

// Correct brings a candidate, as its home told of it, up to now by the own
// counts.
func (m Mark) Correct(now, reported time.Time, candidate scheduling.Candidate, counts Counts) scheduling.Candidate {
	candidate.Inflight = int(max(counts.Sent-counts.Finished, 0))
	candidate.SentSinceReport = int(max(counts.Sent-m.Sent, 0))
	candidate.FinishedSinceReport = int(max(counts.Finished-m.Finished, 0))
	candidate.ReportAge = now.Sub(reported)
	return candidate
}
