package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomgrade/loomgrade/internal/port"
)

// The directions of counted bytes.
const (
	labelDirection    = "direction"
	directionSent     = "sent"
	directionReceived = "received"
)

func addBytes(counted *prometheus.CounterVec, sent, received uint64) {
	counted.WithLabelValues(directionSent).Add(float64(sent))
	counted.WithLabelValues(directionReceived).Add(float64(received))
}

// Control holds the measures of a control member. Its methods are safe for
// concurrent use.
type Control struct {
	registry    *prometheus.Registry
	commands    *prometheus.CounterVec
	commandTime prometheus.Histogram
	syncTime    prometheus.Histogram
	revision    prometheus.Gauge
	term        prometheus.Gauge
	leader      prometheus.Gauge
	watches     prometheus.Gauge
	peerBytes   *prometheus.CounterVec
}

// NewControl makes the measures of a control member.
func NewControl() *Control {
	single := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	timing := func(name, help string) prometheus.Histogram {
		buckets := prometheus.ExponentialBuckets(0.0001, 2, 18)
		return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
	}
	c := &Control{
		registry:    newRegistry(),
		commands:    counter("commands_total", "Commands answered, by code.", labelCode),
		commandTime: timing("command_seconds", "Time from a command's proposal to its answer."),
		syncTime:    timing("log_sync_seconds", "Time of one sync of the log."),
		revision:    single("configuration_revision", "Configuration revision applied here."),
		term:        single("consensus_term", "Current term."),
		leader:      single("consensus_leader", "1 while this member is the leader."),
		watches:     single("watching_nodes", "Nodes that watch this member."),
		peerBytes:   counter("peer_bytes_total", "Bytes exchanged with nodes and members, by direction.", labelDirection),
	}
	c.registry.MustRegister(c.commands, c.commandTime, c.syncTime, c.revision, c.term, c.leader, c.watches, c.peerBytes)
	return c
}

// Handler serves the measures.
func (c *Control) Handler() http.Handler { return handlerOf(c.registry) }

// CommandDone counts an answered command; refusal is nil for an accepted one.
func (c *Control) CommandDone(refusal *port.Error, elapsed time.Duration) {
	code := codeAnswered
	if refusal != nil {
		code = string(refusal.Code)
	}
	c.commands.WithLabelValues(code).Inc()
	c.commandTime.Observe(elapsed.Seconds())
}

// Synced measures one sync of the log.
func (c *Control) Synced(elapsed time.Duration) { c.syncTime.Observe(elapsed.Seconds()) }

// Position sets the applied revision, the term and whether this member leads.
func (c *Control) Position(revision port.Revision, term uint64, leads bool) {
	c.revision.Set(float64(revision))
	c.term.Set(float64(term))
	value := 0.0
	if leads {
		value = 1
	}
	c.leader.Set(value)
}

// Watches sets how many nodes watch this member.
func (c *Control) Watches(count int) { c.watches.Set(float64(count)) }

// PeerBytes adds bytes that were sent and received.
func (c *Control) PeerBytes(sent, received uint64) { addBytes(c.peerBytes, sent, received) }
