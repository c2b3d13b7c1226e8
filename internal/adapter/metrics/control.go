package metrics

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomgrade/loomgrade/internal/port"
)

// ControlReading is a snapshot of a control member's state.
type ControlReading struct {
	Revision port.Revision
	Term     uint64
	// Leads and QuorumActive report whether the member is the leader and whether it is in
	// contact with a quorum.
	Leads        bool
	QuorumActive bool
	// Committed, Applied and Snapshot are positions in the log.
	Committed uint64
	Applied   uint64
	Snapshot  uint64
	// Syncs counts syncs of the log since the start of the process.
	Syncs uint64
	// Nodes counts the nodes of the view, Watching those that watch this member.
	Nodes    int
	Watching int
	// PeerSent and PeerReceived count bytes on connections that nodes and
	// members opened.
	PeerSent     uint64
	PeerReceived uint64
}

// Control holds the metrics of a control member. It is safe for concurrent use.
type Control struct {
	registry    *prometheus.Registry
	commands    *prometheus.CounterVec
	commandTime prometheus.Histogram
	read        atomic.Pointer[func() ControlReading]
}

// NewControl returns the metrics of a control member.
func NewControl() *Control {
	c := &Control{
		registry: newRegistry(),
		commands: counter("commands_total", "Commands answered to nodes and operators, by code.", labelCode),
		commandTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "command_seconds", Help: "Time from a command's proposal to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 18),
		}),
	}
	c.registry.MustRegister(c.commands, c.commandTime)
	c.gauge("configuration_revision", "Configuration revision applied here.", func(r ControlReading) float64 { return float64(r.Revision) })
	c.gauge("consensus_term", "Current term.", func(r ControlReading) float64 { return float64(r.Term) })
	c.gauge("consensus_leader", "1 while this member is the leader.", func(r ControlReading) float64 { return boolToFloat(r.Leads) })
	c.gauge("consensus_quorum_active", "1 while this member is in touch with a quorum.", func(r ControlReading) float64 { return boolToFloat(r.QuorumActive) })
	c.gauge("log_committed_index", "Position of the last committed log entry.", func(r ControlReading) float64 { return float64(r.Committed) })
	c.gauge("log_applied_index", "Position of the last applied log entry.", func(r ControlReading) float64 { return float64(r.Applied) })
	c.gauge("log_snapshot_index", "Position of the last snapshot.", func(r ControlReading) float64 { return float64(r.Snapshot) })
	c.gauge("registered_nodes", "Nodes of the view.", func(r ControlReading) float64 { return float64(r.Nodes) })
	c.gauge("watching_nodes", "Nodes that watch this member.", func(r ControlReading) float64 { return float64(r.Watching) })
	c.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: "log_syncs_total", Help: "Syncs of the log."},
		func() float64 { return float64(c.reading().Syncs) }))
	countBytes(c.registry, "peer_bytes_total", "Bytes on connections that nodes and members opened, by direction.", func() (sent, received uint64) {
		reading := c.reading()
		return reading.PeerSent, reading.PeerReceived
	})
	return c
}

func (c *Control) gauge(name, help string, value func(ControlReading) float64) {
	options := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	readGauge(c.registry, options, &c.read, value)
}

// readGauge registers a gauge whose value is read at collection, 0 while there is no
// reader.
func readGauge[R any](registry *prometheus.Registry, options prometheus.GaugeOpts, read *atomic.Pointer[func() R], value func(R) float64) {
	registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 {
		var reading R
		if read := read.Load(); read != nil {
			reading = (*read)()
		}
		return value(reading)
	}))
}

// reading returns the zero value until Observe is called.
func (c *Control) reading() ControlReading {
	read := c.read.Load()
	if read == nil {
		return ControlReading{}
	}
	return (*read)()
}

// Observe sets the function that reads the member's state.
func (c *Control) Observe(read func() ControlReading) { c.read.Store(&read) }

// Handler serves the metrics.
func (c *Control) Handler() http.Handler { return handlerOf(c.registry) }

// CommandDone counts a finished command; refusal is nil for an accepted one.
func (c *Control) CommandDone(refusal *port.Error, elapsed time.Duration) {
	code := codeOK
	if refusal != nil {
		code = string(refusal.Code)
	}
	c.commands.WithLabelValues(code).Inc()
	c.commandTime.Observe(elapsed.Seconds())
}

func boolToFloat(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
