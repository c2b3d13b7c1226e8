package home

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxFailedPolls is the number of consecutive failed polls after which a replica's report
// is no longer valid.
const maxFailedPolls = 3

// Record is the state that the home stores for one replica. It is not safe for concurrent
// use.
type Record struct {
	Replica port.Replica
	// Polled is set for engines, which have load reports, and not for application back
	// ends.
	Polled bool

	// report is the last load report, made at reportedAt and requested at requestedAt;
	// the times are zero before the first report.
	report      port.LoadReport
	reportedAt  time.Time
	requestedAt time.Time
	// failedPolls counts consecutive failed polls.
	failedPolls int
	// excludedUntil is the end of an exclusion from routing by a weights rollout.
	excludedUntil time.Time
	// ejectedSince is when a summary first reported the replica as ejected; zero while
	// it is not ejected.
	ejectedSince time.Time
}

// Report returns the last load report with its current age.
func (r *Record) Report(now time.Time) port.LoadReport {
	report := r.report
	report.AgeMillis = now.Sub(r.reportedAt).Milliseconds()
	return report
}

// ApplyReport applies the report of a poll sent at requestedAt, unless the report of a
// later poll was applied. Restarted reports whether the engine has restarted since the
// previous report, which clears its cache.
func (r *Record) ApplyReport(now, requestedAt time.Time, report port.LoadReport) (applied, restarted bool) {
	r.failedPolls = 0
	if requestedAt.Before(r.requestedAt) {
		return false, false
	}
	restarted = r.hasReport() && r.report.Incarnation != report.Incarnation
	r.requestedAt = requestedAt
	r.report = report
	r.reportedAt = now.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	return true, restarted
}

// PollFailed records a failed poll. It reports whether the consecutive failures count as a
// failure of the replica.
func (r *Record) PollFailed() bool {
	r.failedPolls++
	return r.failedPolls >= maxFailedPolls
}

// ExcludeUntil sets the end of a rollout's exclusion of the replica from routing; zero ends
// it. It reports whether an exclusion began or ended.
func (r *Record) ExcludeUntil(until time.Time) bool {
	changed := r.excludedUntil.IsZero() != until.IsZero()
	r.excludedUntil = until
	return changed
}

// VersionUnknown reports whether the served version is unknown: before the first report,
// after too many failed polls, and while a rollout excludes the replica. It is false for
// replicas without reports.
func (r *Record) VersionUnknown(now time.Time) bool {
	return r.Polled && (!r.hasReport() || r.failedPolls >= maxFailedPolls || now.Before(r.excludedUntil))
}

// Reachable reports whether the replica answers its polls.
func (r *Record) Reachable() bool { return r.hasReport() && r.failedPolls < maxFailedPolls }

// Version returns the served version of an adapter, or of the base model if adapter is
// empty; 0 means unknown or not loaded.
func (r *Record) Version(now time.Time, adapter string) port.WeightVersion {
	if r.VersionUnknown(now) {
		return 0
	}
	version, _ := r.report.Versions(adapter)
	return version
}

func (r *Record) hasReport() bool { return !r.reportedAt.IsZero() }

// Health is a replica's health according to the summaries of its home.
type Health struct{ Ejected, Probing bool }

// GateReplica returns the description of a replica for its gate. The record is nil on nodes
// that are not the home of the replica.
func GateReplica(now time.Time, replica *port.Replica, region port.RegionName, leaving bool, health Health, record *Record) gate.Replica {
	gateReplica := gate.Replica{
		ID:       replica.ID,
		Zone:     replica.Zone,
		Region:   region,
		Draining: replica.State == port.ReplicaDrain,
		Leaving:  leaving,
		Ejected:  health.Ejected,
		Probing:  health.Probing,
	}
	if record != nil && record.Polled {
		gateReplica.Report = record.report
		gateReplica.ReportedAt = record.reportedAt
		gateReplica.VersionUnknown = record.VersionUnknown(now)
	}
	return gateReplica
}

// Summary returns the replica's summary for the zone. Load and queued are those of its
// gate; tracker, which may be nil, provides its health.
func (r *Record) Summary(now time.Time, leaving bool, load gate.Load, queued int, tracker *ejection.Tracker) membership.ReplicaSummary {
	summary := membership.ReplicaSummary{
		Replica:        r.Replica.ID,
		Pool:           r.Replica.Pool,
		Version:        r.report.Version,
		Staged:         r.report.Staged,
		VersionUnknown: r.VersionUnknown(now),
		Role:           r.report.Role,
		KVUsed:         r.report.KVUsed,
		KVTotal:        r.report.KVTotal,
		Draining:       r.Replica.State == port.ReplicaDrain,
		Leaving:        leaving,
		Inflight:       load.Inflight,
		Limit:          load.Limit,
		Queued:         queued,
		Adapters:       r.report.LoadedAdapters(),
	}
	if tracker != nil {
		r.addHealth(now, tracker, &summary)
	}
	return summary
}

// addHealth sets the health fields of a summary.
func (r *Record) addHealth(now time.Time, tracker *ejection.Tracker, summary *membership.ReplicaSummary) {
	state := tracker.State(r.Replica.ID)
	summary.Ejected = state == ejection.Ejected
	summary.Probing = state == ejection.Probing
	summary.LatencyMicros = tracker.Latency(r.Replica.ID).Microseconds()
	if !summary.Ejected {
		r.ejectedSince = time.Time{}
		return
	}
	if r.ejectedSince.IsZero() {
		r.ejectedSince = now
	}
	summary.EjectedSince = r.ejectedSince.UnixMilli()
}
