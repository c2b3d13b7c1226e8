package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// noReport is the age of a report that never came.
const noReport = time.Hour

// Replica is what the gate is told of one replica.
type Replica struct {
	ID   port.ReplicaID
	Zone port.ZoneName
	// Region is that of the replica's zone.
	Region   port.RegionName
	Draining bool
	Leaving  bool
	Ejected  bool
	Probing  bool
	// VersionUnknown keeps a replica out until it says what it serves.
	VersionUnknown bool
	// Report is the last load report, made at ReportedAt; the zero time means
	// that there is none, as for application back ends.
	Report     port.LoadReport
	ReportedAt time.Time
}

// slot is one replica with what runs on it.
type slot struct {
	replica  Replica
	adapters []string
	limiter  *admission.Limiter
	inflight int
	tokens   int
	sent     int
	finished int
	// latency is the mean time of the calls that were served, the last one at
	// servedAt; 0 while none was.
	latency  time.Duration
	servedAt time.Time
	reported time.Time
	// marks count what was sent and finished when the last report came.
	sentMark     int
	finishedMark int
}

// update takes over what is told of a replica.
func (s *slot) update(replica Replica) {
	if replica.ReportedAt.After(s.reported) {
		s.reported = replica.ReportedAt
		s.sentMark = s.sent
		s.finishedMark = s.finished
	}
	s.replica = replica
	s.adapters = replica.Report.Loaded()
}

const (
	// latencySmoothing is the weight of a new call in the mean latency.
	latencySmoothing = 0.2
	// latencyMemory is how long the mean latency counts without another call. A
	// back end that was slow once and gets no calls is tried again after it.
	latencyMemory = 5 * time.Second
)

// served counts the time of one call.
func (s *slot) served(now time.Time, took time.Duration) {
	if s.expected(now) == 0 {
		s.latency = took
	}
	s.latency += time.Duration(latencySmoothing * float64(took-s.latency))
	s.servedAt = now
}

// expected gives the mean latency as far as it still counts; 0 means not known.
func (s *slot) expected(now time.Time) time.Duration {
	if now.Sub(s.servedAt) > latencyMemory {
		return 0
	}
	return s.latency
}

// routable says whether the replica takes requests at all.
func (s *slot) routable() bool {
	replica := &s.replica
	return !replica.Draining && !replica.Leaving && !replica.Ejected && !replica.VersionUnknown
}

// candidate gives what a decision about a request for the adapter looks at.
func (s *slot) candidate(now time.Time, adapter string) scheduling.Candidate {
	report := &s.replica.Report
	version, staged := report.Serves(adapter)
	return scheduling.Candidate{
		Replica:             s.replica.ID,
		Zone:                s.replica.Zone,
		Region:              s.replica.Region,
		Version:             version,
		Staged:              staged,
		VersionUnknown:      s.replica.VersionUnknown,
		Role:                report.Role,
		Adapters:            s.adapters,
		Draining:            s.replica.Draining,
		Leaving:             s.replica.Leaving,
		Ejected:             s.replica.Ejected,
		Probing:             s.replica.Probing,
		Running:             report.Running,
		Waiting:             report.Waiting,
		ReportAge:           s.reportAge(now),
		Inflight:            s.inflight,
		SentSinceReport:     s.sent - s.sentMark,
		FinishedSinceReport: s.finished - s.finishedMark,
		InflightTokens:      s.tokens,
		KVUsed:              report.KVUsed,
		KVTotal:             report.KVTotal,
		Latency:             s.expected(now),
		Limit:               s.limiter.Limit(),
	}
}

func (s *slot) reportAge(now time.Time) time.Duration {
	if s.replica.ReportedAt.IsZero() {
		return noReport
	}
	return now.Sub(s.replica.ReportedAt)
}
