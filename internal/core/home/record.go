package home

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// silentPolls is the number of failed polls in a row after which a replica's
// report no longer holds.
const silentPolls = 3

// Record is what the home knows of one replica. It is not safe for concurrent
// use.
type Record struct {
	Replica port.Replica
	// Polled says that the replica has load reports; application back ends have
	// none.
	Polled bool

	// report is the last load report, made at reportedAt and asked for at
	// askedAt; the zero times mean that none came yet.
	report     port.LoadReport
	reportedAt time.Time
	askedAt    time.Time
	// silent counts the polls that failed in a row.
	silent int
	// outUntil is how long a weights rollout keeps the replica out of routing.
	outUntil time.Time
	// ejectedSince is when the replica was first told as ejected; the zero time
	// while it is not.
	ejectedSince time.Time
}

// Report gives the last load report, its age brought up to now.
func (r *Record) Report(now time.Time) port.LoadReport {
	report := r.report
	report.AgeMillis = now.Sub(r.reportedAt).Milliseconds()
	return report
}

// Reported takes the answer to a question that was asked at askedAt. A report is
// not taken if one to a later question was. Restarted says that the engine
// started anew since the report before: what it cached is gone.
func (r *Record) Reported(now, askedAt time.Time, report port.LoadReport) (taken, restarted bool) {
	r.silent = 0
	if askedAt.Before(r.askedAt) {
		return false, false
	}
	restarted = r.known() && r.report.Incarnation != report.Incarnation
	r.askedAt = askedAt
	r.report = report
	r.reportedAt = now.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	return true, restarted
}

// Unanswered notes a poll that failed. True says that there were so many in a
// row that this one counts as a failure of the replica.
func (r *Record) Unanswered() bool {
	r.silent++
	return r.silent >= silentPolls
}

// RouteOut takes over until when a rollout keeps the replica out of routing; the
// zero time ends that. True says that the replica came in or went out.
func (r *Record) RouteOut(until time.Time) bool {
	changed := r.outUntil.IsZero() != until.IsZero()
	r.outUntil = until
	return changed
}

// VersionUnknown says whether it isn't known what a replica serves: before its
// first report, after it fell silent, and while a rollout keeps it out. It is
// false for replicas without reports.
func (r *Record) VersionUnknown(now time.Time) bool {
	return r.Polled && (!r.known() || r.silent >= silentPolls || now.Before(r.outUntil))
}

// Reachable says whether the replica answers its polls.
func (r *Record) Reachable() bool { return r.known() && r.silent < silentPolls }

// Version gives the version that the replica serves of an adapter, or of the base
// model where the adapter is empty; 0 means not known or not loaded.
func (r *Record) Version(now time.Time, adapter string) port.WeightVersion {
	if r.VersionUnknown(now) {
		return 0
	}
	version, _ := r.report.Serves(adapter)
	return version
}

func (r *Record) known() bool { return !r.reportedAt.IsZero() }

// Standing is what the zone holds of a replica's health.
type Standing struct{ Ejected, Probing bool }

// ForGate gives a replica as its gate is told of it. The record is nil at a node
// that is not its home.
func ForGate(now time.Time, replica *port.Replica, region port.RegionName, leaving bool, standing Standing, record *Record) gate.Replica {
	told := gate.Replica{
		ID:       replica.ID,
		Zone:     replica.Zone,
		Region:   region,
		Draining: replica.State == port.ReplicaDrain,
		Leaving:  leaving,
		Ejected:  standing.Ejected,
		Probing:  standing.Probing,
	}
	if record != nil && record.Polled {
		told.Report = record.report
		told.ReportedAt = record.reportedAt
		told.VersionUnknown = record.VersionUnknown(now)
	}
	return told
}

// Summary tells the zone of the replica. Load and queued are those of its gate;
// tracker, which may be nil, judges its health.
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
		Adapters:       r.report.Loaded(),
	}
	if tracker != nil {
		r.judge(now, tracker, &summary)
	}
	return summary
}

// judge enters the replica's health, and since when it is out.
func (r *Record) judge(now time.Time, tracker *ejection.Tracker, summary *membership.ReplicaSummary) {
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
