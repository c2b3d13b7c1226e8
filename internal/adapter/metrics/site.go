package metrics

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// SiteReading is a snapshot of the state of a site's process.
type SiteReading struct {
	// Position is the log position of the process's view of the control state, and
	// Configuration the version in force in that view.
	Position      uint64
	Configuration uint64
	// Confirmed is set while a quorum confirms the view.
	Confirmed bool
	// Shard is the shard that the process's group stores, 0 for none. Leads, Term and
	// Applied are the state of the process as a member of the group.
	Shard   uint32
	Leads   bool
	Term    uint64
	Applied uint64
	// Voters is the number of voters of the group. The leader counts the members that lack a
	// part of the log, the bytes of the log sent in its term, and those sent more than once.
	Voters           int
	MembersBehind    int
	LogSentBytes     uint64
	LogRepeatedBytes uint64
	// MembershipWaits is set on a leader whose group needs a membership change that cannot be
	// made yet.
	MembershipWaits bool
	// InFlight counts requests of callers or items of jobs in flight.
	InFlight int64
	// HeldBytes is the size of buffered requests and responses.
	HeldBytes int64
	// JobBytes estimates the memory that jobs use on a store machine.
	JobBytes int64
	// Withheld counts the requests withheld because replicas crashed during them.
	Withheld int
	// SendRate is the sum of the send limits in force in requests per second, and SendsWaiting
	// the number of requests that wait for one.
	SendRate     float64
	SendsWaiting int
	// LinesDropped counts dropped log lines.
	LinesDropped uint64
}

// Site holds the metrics of a site's process. It is safe for concurrent use.
type Site struct {
	registry           *prometheus.Registry
	requests           *prometheus.HistogramVec
	runs               *prometheus.CounterVec
	items              *prometheus.HistogramVec
	pages              *prometheus.CounterVec
	loads              *prometheus.HistogramVec
	heartbeats         prometheus.Counter
	heartbeatsRejected *prometheus.CounterVec
	suspended          prometheus.Counter
	sendsRefused       *prometheus.CounterVec
	retriesRefused     prometheus.Counter
	read               atomic.Pointer[func() SiteReading]
}

// labelOutcome is the label for the outcome of an operation, from a closed set.
const labelOutcome = "outcome"

// siteBuckets covers latencies from a millisecond to about a minute.
var siteBuckets = prometheus.ExponentialBuckets(0.001, 2, 17)

func siteHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: "site", Name: name, Help: help, Buckets: siteBuckets,
	}, []string{labelOutcome})
}

// NewSite returns the metrics of a site's process.
func NewSite() *Site {
	s := &Site{
		registry:   newRegistry(),
		requests:   siteHistogram("request_seconds", "Time from a caller's request to its answer, by outcome."),
		runs:       counter("site_runs_total", "Runs of items at replicas, by outcome.", labelOutcome),
		items:      siteHistogram("item_seconds", "Time from an item's taking over to its result, by outcome."),
		pages:      counter("site_pages_total", "Pages of results that a store machine gave, by its role in the group.", "role"),
		loads:      siteHistogram("load_seconds", "Time of an ordered load of weights, by outcome."),
		heartbeats: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "site", Name: "heartbeats_total", Help: "Heartbeats of replicas taken as the leader."}),
	}
	s.heartbeatsRejected = counter("site_heartbeats_refused_total", "Heartbeats that name no replica to use, by the field at fault.", "field")
	s.suspended = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "site", Name: "suspended_seconds_total", Help: "Seconds for which the machine was suspended while the process ran."})
	s.sendsRefused = counter("site_sends_refused_total", "Requests that the send limit refused, by reason.", "reason")
	s.retriesRefused = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "site", Name: "retries_refused_total", Help: "Further tries that the retry budget of a service did not allow."})
	s.registry.MustRegister(s.requests, s.runs, s.items, s.pages, s.loads, s.heartbeats, s.heartbeatsRejected, s.suspended, s.sendsRefused, s.retriesRefused)
	s.gauge("send_rate", "Sum of the send limits in force, in requests per second; 0 without a limit.", func(r SiteReading) float64 { return r.SendRate })
	s.gauge("sends_waiting", "Requests that wait for a send limit.", func(r SiteReading) float64 { return float64(r.SendsWaiting) })
	s.gauge("view_position", "Log position of the view of the control state.", func(r SiteReading) float64 { return float64(r.Position) })
	s.gauge("configuration_version", "Version of the configuration in force here.", func(r SiteReading) float64 { return float64(r.Configuration) })
	s.gauge("view_confirmed", "1 while a quorum confirms the view.", func(r SiteReading) float64 { return boolToFloat(r.Confirmed) })
	s.gauge("leader", "1 while this process leads its group.", func(r SiteReading) float64 { return boolToFloat(r.Leads) })
	s.gauge("shard", "Shard of the jobs that its group keeps, 0 for none.", func(r SiteReading) float64 { return float64(r.Shard) })
	s.gauge("term", "Term of its group.", func(r SiteReading) float64 { return float64(r.Term) })
	s.gauge("applied_index", "Last applied position of its group's log.", func(r SiteReading) float64 { return float64(r.Applied) })
	s.gauge("voters", "Voters of its group.", func(r SiteReading) float64 { return float64(r.Voters) })
	s.gauge("members_behind", "Members of its group that lack a part of the log, on the leader.", func(r SiteReading) float64 { return float64(r.MembersBehind) })
	s.gauge("log_sent_bytes", "Bytes of the log and snapshots that the leader sent in its term.", func(r SiteReading) float64 { return float64(r.LogSentBytes) })
	s.gauge("log_repeated_bytes", "Bytes of the log and snapshots that the leader sent more than once in its term.", func(r SiteReading) float64 { return float64(r.LogRepeatedBytes) })
	s.gauge("membership_waits", "1 while the leader's group needs a membership change that cannot be made yet.", func(r SiteReading) float64 { return boolToFloat(r.MembershipWaits) })
	s.gauge("in_flight", "Requests or items in flight.", func(r SiteReading) float64 { return float64(r.InFlight) })
	s.gauge("held_bytes", "Bytes of requests and answers that are held for callers.", func(r SiteReading) float64 { return float64(r.HeldBytes) })
	s.gauge("job_bytes", "Memory that the jobs of its shard take, about.", func(r SiteReading) float64 { return float64(r.JobBytes) })
	s.gauge("requests_withheld", "Requests known to be withheld, as replicas ended under them.", func(r SiteReading) float64 { return float64(r.Withheld) })
	s.gauge("log_lines_dropped", "Log lines left out since the start.", func(r SiteReading) float64 { return float64(r.LinesDropped) })
	return s
}

func (s *Site) gauge(name, help string, value func(SiteReading) float64) {
	options := prometheus.GaugeOpts{Namespace: namespace, Subsystem: "site", Name: name, Help: help}
	readGauge(s.registry, options, &s.read, value)
}

// Observe sets the function that reads the gauges' values.
func (s *Site) Observe(read func() SiteReading) { s.read.Store(&read) }

// RequestEnded counts a caller's request.
func (s *Site) RequestEnded(outcome string, took time.Duration) {
	s.requests.WithLabelValues(outcome).Observe(took.Seconds())
}

// RunEnded counts a run of an item.
func (s *Site) RunEnded(outcome string) { s.runs.WithLabelValues(outcome).Inc() }

// ItemEnded counts an item that has a result.
func (s *Site) ItemEnded(outcome string, took time.Duration) {
	s.items.WithLabelValues(outcome).Observe(took.Seconds())
}

// PageServed counts a page of results.
func (s *Site) PageServed(role string) { s.pages.WithLabelValues(role).Inc() }

// LoadEnded counts a load of weights.
func (s *Site) LoadEnded(outcome string, took time.Duration) {
	s.loads.WithLabelValues(outcome).Observe(took.Seconds())
}

// HeartbeatAccepted counts an accepted heartbeat.
func (s *Site) HeartbeatAccepted() { s.heartbeats.Inc() }

// HeartbeatRejected counts a rejected heartbeat; field is from a closed set.
func (s *Site) HeartbeatRejected(field string) { s.heartbeatsRejected.WithLabelValues(field).Inc() }

// Suspended counts a suspension of the machine.
func (s *Site) Suspended(slept time.Duration) { s.suspended.Add(slept.Seconds()) }

// SendRefused counts a request that a send limit refused; reason is from a closed set.
func (s *Site) SendRefused(reason string) { s.sendsRefused.WithLabelValues(reason).Inc() }

// RetryRefused counts a further try that a retry budget did not allow.
func (s *Site) RetryRefused() { s.retriesRefused.Inc() }

// Handler serves the metrics.
func (s *Site) Handler() http.Handler { return handlerOf(s.registry) }
