package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Label names.
const (
	labelPool    = "pool"
	labelVerdict = "verdict"
	labelCode    = "code"
	labelReason  = "reason"
)

// codeOK is the label code of a request without an error.
const codeOK = "ok"

// Node holds the metrics of a node. It is safe for concurrent use.
type Node struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	seconds     *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	queued      *prometheus.GaugeVec
	inFlight    *prometheus.GaugeVec
	delivered   *prometheus.CounterVec
	dropped     *prometheus.CounterVec
	staleness   *prometheus.HistogramVec
	trainerWait *prometheus.HistogramVec
}

// NewNode returns the metrics of a node.
func NewNode() *Node {
	n := &Node{
		registry:    newRegistry(),
		requests:    counter("requests_total", "Requests answered, by pool, verdict and code.", labelPool, labelVerdict, labelCode),
		seconds:     histogram("request_seconds", "Time from a request's acceptance to its last byte.", prometheus.ExponentialBuckets(0.001, 2, 18), labelPool),
		attempts:    counter("attempts_total", "Attempts at back ends, by pool.", labelPool),
		queued:      gauge("queued_requests", "Requests that wait for a replica.", labelPool),
		inFlight:    gauge("inflight_requests", "Requests accepted and not yet answered.", labelPool),
		delivered:   counter("samples_delivered_total", "Samples delivered to the trainer.", labelPool),
		dropped:     counter("samples_dropped_total", "Samples dropped, by reason.", labelPool, labelReason),
		staleness:   histogram("sample_staleness_versions", "Age of delivered samples in weight versions.", prometheus.LinearBuckets(0, 1, 12), labelPool),
		trainerWait: histogram("trainer_wait_seconds", "Time that a trainer waited for a batch.", prometheus.ExponentialBuckets(0.005, 2, 16), labelPool),
	}
	n.registry.MustRegister(n.requests, n.seconds, n.attempts, n.queued, n.inFlight, n.delivered, n.dropped, n.staleness, n.trainerWait)
	return n
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Handler serves the metrics.
func (n *Node) Handler() http.Handler { return handlerOf(n.registry) }

// RequestDone counts a finished request; failure is nil for a complete response. The pool
// must be in the configuration.
func (n *Node) RequestDone(pool port.PoolName, failure *port.Error, elapsed time.Duration) {
	verdict, code := port.Ran, port.Code(codeOK)
	if failure != nil {
		verdict, code = failure.Verdict, failure.Code
	}
	n.requests.WithLabelValues(string(pool), verdict.String(), string(code)).Inc()
	n.seconds.WithLabelValues(string(pool)).Observe(elapsed.Seconds())
}

// RequestStarted counts a request as in flight until done is called.
func (n *Node) RequestStarted(pool port.PoolName) (done func()) {
	running := n.inFlight.WithLabelValues(string(pool))
	running.Inc()
	return running.Dec
}

// Attempt counts an attempt at a back end.
func (n *Node) Attempt(pool port.PoolName) { n.attempts.WithLabelValues(string(pool)).Inc() }

// Queued sets the number of a pool's requests that wait for a replica.
func (n *Node) Queued(pool port.PoolName, waiting int) {
	n.queued.WithLabelValues(string(pool)).Set(float64(waiting))
}

// SampleDelivered counts a delivered sample; age is in weight versions.
func (n *Node) SampleDelivered(pool port.PoolName, age uint64) {
	n.delivered.WithLabelValues(string(pool)).Inc()
	n.staleness.WithLabelValues(string(pool)).Observe(float64(age))
}

// DropReason is why a sample was dropped.
type DropReason string

// Values of DropReason.
const (
	DropStale  DropReason = "stale"
	DropVoided DropReason = "voided"
)

// SampleDropped counts a sample that was dropped.
func (n *Node) SampleDropped(pool port.PoolName, reason DropReason) {
	n.dropped.WithLabelValues(string(pool), string(reason)).Inc()
}

// TrainerWaited records how long a request waited for a batch.
func (n *Node) TrainerWaited(pool port.PoolName, waited time.Duration) {
	n.trainerWait.WithLabelValues(string(pool)).Observe(waited.Seconds())
}

// CountControlBytes sets the function that reads the bytes exchanged with control members.
// It must be called at most once.
func (n *Node) CountControlBytes(read func() (sent, received uint64)) {
	countBytes(n.registry, "control_bytes_total", "Bytes exchanged with control members, by direction.", read)
}

// CountPeerBytes sets the function that reads the bytes on connections from other nodes.
// It must be called at most once.
func (n *Node) CountPeerBytes(read func() (sent, received uint64)) {
	countBytes(n.registry, "peer_bytes_total", "Bytes on connections that other nodes opened, by direction.", read)
}

// RemovePool removes the metrics of a pool that is no longer configured.
func (n *Node) RemovePool(pool port.PoolName) {
	match := prometheus.Labels{labelPool: string(pool)}
	for _, counted := range []*prometheus.CounterVec{n.requests, n.attempts, n.delivered, n.dropped} {
		counted.DeletePartialMatch(match)
	}
	for _, measured := range []*prometheus.HistogramVec{n.seconds, n.staleness, n.trainerWait} {
		measured.DeletePartialMatch(match)
	}
	n.queued.DeletePartialMatch(match)
	n.inFlight.DeletePartialMatch(match)
}
