package placement

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/scheduling"
)

// Counts holds the numbers of requests that a node sent to a replica or zone, and of those
// that finished.
type Counts struct{ Sent, Finished int64 }

// CountsAtReport holds the counts at the time of a replica's report.
type CountsAtReport struct {
	Counts
	Reported time.Time
}

// minReportInterval is the minimum time between two reports of a replica. Closer ones are the
// same report with a different measured age.
const minReportInterval = time.Millisecond

// Update returns the counts at the given report, or m if the report is not newer than m's.
func (m CountsAtReport) Update(reported time.Time, counts Counts) CountsAtReport {
	if !m.Reported.IsZero() && !reported.After(m.Reported.Add(minReportInterval)) {
		return m
	}
	return CountsAtReport{Counts: counts, Reported: reported}
}

// Apply updates a candidate, as its home node reported it, by the requests sent and
// finished since then.
func (m CountsAtReport) Apply(now, reported time.Time, candidate scheduling.Candidate, counts Counts) scheduling.Candidate {
	candidate.Inflight = int(max(counts.Sent-counts.Finished, 0))
	candidate.SentSinceReport = int(max(counts.Sent-m.Sent, 0))
	candidate.FinishedSinceReport = int(max(counts.Finished-m.Finished, 0))
	candidate.ReportAge = now.Sub(reported)
	return candidate
}
