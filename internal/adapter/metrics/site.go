package metrics

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// SiteReading is the state of a process of a site at one moment.
type SiteReading struct {
	// Position is the log position of its view of the control state, and
	// Configuration the version in force there.
	Position      uint64
	Configuration uint64
	// Confirmed is set while a quorum confirms the view.
	Confirmed bool
	// Shard is the one that its group keeps, 0 for none; Leads, Term and Applied are
	// those of its member of the group.
	Shard   uint32
	Leads   bool
	Term    uint64
	Applied uint64
	// InFlight is what it serves or runs at present: requests of callers, or
	// items of jobs.
	InFlight int64
	// HeldBytes is what is held of requests and answers for callers.
	HeldBytes int64
	// JobBytes is about what jobs take in a store machine's memory.
	JobBytes int64
	// Withheld is how many requests are known here to be withheld: replicas ended under them.
	Withheld int
	// LinesDropped counts log lines that were left out.
	LinesDropped uint64
}

// Site holds the measures of a process of a site. Its methods are safe for
// concurrent use.
type Site struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	runs     *prometheus.CounterVec
	items    *prometheus.HistogramVec
	pages    *prometheus.CounterVec
	loads    *prometheus.HistogramVec
	beats    prometheus.Counter
	refused  *prometheus.CounterVec
	slept    prometheus.Counter
	read     atomic.Pointer[func() SiteReading]
}

// labelOutcome names how something ended, by a few fixed words.
const labelOutcome = "outcome"

// siteBuckets bound latencies from a millisecond to about a minute.
var siteBuckets = prometheus.ExponentialBuckets(0.001, 2, 17)

func siteHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: "site", Name: name, Help: help, Buckets: siteBuckets,
	}, []string{labelOutcome})
}

// NewSite makes the measures of a process of a site.
func NewSite() *Site {
	s := &Site{
		registry: newRegistry(),
		requests: siteHistogram("request_seconds", "Time from a caller's request to its answer, by outcome."),
		runs:     counter("site_runs_total", "Runs of items at replicas, by outcome.", labelOutcome),
		items:    siteHistogram("item_seconds", "Time from an item's taking over to its result, by outcome."),
		pages:    counter("site_pages_total", "Pages of results that a store machine gave, by its role in the group.", "role"),
		loads:    siteHistogram("load_seconds", "Time of an ordered load of weights, by outcome."),
		beats:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "site", Name: "heartbeats_total", Help: "Heartbeats of replicas taken as the leader."}),
	}
	s.refused = counter("site_heartbeats_refused_total", "Heartbeats that name no replica to use, by the field at fault.", "field")
	s.slept = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "site", Name: "suspended_seconds_total", Help: "Seconds for which the machine was suspended while the process ran."})
	s.registry.MustRegister(s.requests, s.runs, s.items, s.pages, s.loads, s.beats, s.refused, s.slept)
	s.gauge("view_position", "Log position of the view of the control state.", func(r SiteReading) float64 { return float64(r.Position) })
	s.gauge("configuration_version", "Version of the configuration in force here.", func(r SiteReading) float64 { return float64(r.Configuration) })
	s.gauge("view_confirmed", "1 while a quorum confirms the view.", func(r SiteReading) float64 { return oneIf(r.Confirmed) })
	s.gauge("leader", "1 while this process leads its group.", func(r SiteReading) float64 { return oneIf(r.Leads) })
	s.gauge("shard", "Shard of the jobs that its group keeps, 0 for none.", func(r SiteReading) float64 { return float64(r.Shard) })
	s.gauge("term", "Term of its group.", func(r SiteReading) float64 { return float64(r.Term) })
	s.gauge("applied_index", "Last applied position of its group's log.", func(r SiteReading) float64 { return float64(r.Applied) })
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

// Observe sets where the gauges are read from.
func (s *Site) Observe(read func() SiteReading) { s.read.Store(&read) }

// RequestEnded counts a caller's request.
func (s *Site) RequestEnded(outcome string, took time.Duration) {
	s.requests.WithLabelValues(outcome).Observe(took.Seconds())
}

// RunEnded counts a run of an item.
func (s *Site) RunEnded(outcome string) { s.runs.WithLabelValues(outcome).Inc() }

// ItemEnded counts an item with its result.
func (s *Site) ItemEnded(outcome string, took time.Duration) {
	s.items.WithLabelValues(outcome).Observe(took.Seconds())
}

// PageServed counts a page of results.
func (s *Site) PageServed(role string) { s.pages.WithLabelValues(role).Inc() }

// LoadEnded counts a load of weights.
func (s *Site) LoadEnded(outcome string, took time.Duration) {
	s.loads.WithLabelValues(outcome).Observe(took.Seconds())
}

// HeartbeatTaken counts a heartbeat.
func (s *Site) HeartbeatAccepted() { s.beats.Inc() }

// HeartbeatRefused counts a heartbeat that was not taken. Field is one of a few fixed words.
func (s *Site) HeartbeatRejected(field string) { s.refused.WithLabelValues(field).Inc() }

// Suspended counts a suspension of the machine.
func (s *Site) Suspended(slept time.Duration) { s.slept.Add(slept.Seconds()) }

// Handler serves the measures.
func (s *Site) Handler() http.Handler { return handlerOf(s.registry) }
