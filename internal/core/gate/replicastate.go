package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// noReportAge is the report age of a replica without a report.
const noReportAge = time.Hour

// Replica describes one replica to the gate.
type Replica struct {
	ID   port.ReplicaID
	Zone port.ZoneName
	// Region is that of the replica's zone.
	Region   port.RegionName
	Draining bool
	Leaving  bool
	Ejected  bool
	Probing  bool
	// VersionUnknown excludes a replica until it reports its version.
	VersionUnknown bool
	// Report is the last load report, made at ReportedAt. ReportedAt is zero without
	// a report, as for application back ends.
	Report     port.LoadReport
	ReportedAt time.Time
}

// replicaState holds a replica and the requests running on it.
type replicaState struct {
	info     Replica
	adapters []string
	limiter  *admission.Limiter
	inflight int
	tokens   int
	sent     int
	finished int
	// latency is the mean latency of the served calls, the last one served at
	// servedAt; 0 means none.
	latency  time.Duration
	servedAt time.Time
	reported time.Time
	// sentAtReport and finishedAtReport are the values of sent and finished at the time
	// of the last report.
	sentAtReport     int
	finishedAtReport int
}

// update replaces the description of the replica.
func (s *replicaState) update(replica Replica) {
	if replica.ReportedAt.After(s.reported) {
		s.reported = replica.ReportedAt
		s.sentAtReport = s.sent
		s.finishedAtReport = s.finished
	}
	s.info = replica
	s.adapters = replica.Report.LoadedAdapters()
}

const (
	// latencySmoothing is the weight of a new call in the mean latency.
	latencySmoothing = 0.2
	// latencyMaxAge is how long the mean latency is used without another call, so
	// that a back end that was slow gets calls again.
	latencyMaxAge = 5 * time.Second
)

// recordLatency adds the latency of one call to the mean.
func (s *replicaState) recordLatency(now time.Time, latency time.Duration) {
	if s.recentLatency(now) == 0 {
		s.latency = latency
	}
	s.latency += time.Duration(latencySmoothing * float64(latency-s.latency))
	s.servedAt = now
}

// recentLatency returns the mean latency, or 0 if there was no recent call.
func (s *replicaState) recentLatency(now time.Time) time.Duration {
	if now.Sub(s.servedAt) > latencyMaxAge {
		return 0
	}
	return s.latency
}

// routable reports whether the replica accepts requests at all.
func (s *replicaState) routable() bool {
	replica := &s.info
	return !replica.Draining && !replica.Leaving && !replica.Ejected && !replica.VersionUnknown
}

// candidate returns the scheduling candidate for a request for the adapter.
func (s *replicaState) candidate(now time.Time, adapter string) scheduling.Candidate {
	report := &s.info.Report
	version, staged := report.Versions(adapter)
	return scheduling.Candidate{
		Replica:             s.info.ID,
		Zone:                s.info.Zone,
		Region:              s.info.Region,
		Version:             version,
		Staged:              staged,
		VersionUnknown:      s.info.VersionUnknown,
		Role:                report.Role,
		Adapters:            s.adapters,
		Draining:            s.info.Draining,
		Leaving:             s.info.Leaving,
		Ejected:             s.info.Ejected,
		Probing:             s.info.Probing,
		Running:             report.Running,
		Waiting:             report.Waiting,
		ReportAge:           s.reportAge(now),
		Inflight:            s.inflight,
		SentSinceReport:     s.sent - s.sentAtReport,
		FinishedSinceReport: s.finished - s.finishedAtReport,
		InflightTokens:      s.tokens,
		KVUsed:              report.KVUsed,
		KVTotal:             report.KVTotal,
		Latency:             s.recentLatency(now),
		Limit:               s.limiter.Limit(),
	}
}

func (s *replicaState) reportAge(now time.Time) time.Duration {
	if s.info.ReportedAt.IsZero() {
		return noReportAge
	}
	return now.Sub(s.info.ReportedAt)
}
