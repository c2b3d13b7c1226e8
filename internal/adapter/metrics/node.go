package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Labels.
const (
	labelPool    = "pool"
	labelVerdict = "verdict"
	labelCode    = "code"
	labelReason  = "reason"
)

// codeAnswered stands in the label code for a request without an error.
const codeAnswered = "ok"

// Node holds the measures of a node. Its methods are safe for concurrent use.
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

// NewNode makes the measures of a node.
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

// Handler serves the measures.
func (n *Node) Handler() http.Handler { return handlerOf(n.registry) }

// RequestDone counts an answered request; failure is nil for a whole answer.
// The pool must be a configured one.
func (n *Node) RequestDone(pool port.PoolName, failure *port.Error, elapsed time.Duration) {
	verdict, code := port.Ran, port.Code(codeAnswered)
	if failure != nil {
		verdict, code = failure.Verdict, failure.Code
	}
	n.requests.WithLabelValues(string(pool), verdict.String(), string(code)).Inc()
	n.seconds.WithLabelValues(string(pool)).Observe(elapsed.Seconds())
}

// RequestBegun counts a request as in flight until done is called.
func (n *Node) RequestBegun(pool port.PoolName) (done func()) {
	running := n.inFlight.WithLabelValues(string(pool))
	running.Inc()
	return running.Dec
}

// Attempt counts an attempt at a back end.
func (n *Node) Attempt(pool port.PoolName) { n.attempts.WithLabelValues(string(pool)).Inc() }

// Queued sets how many requests of a pool wait for a replica.
func (n *Node) Queued(pool port.PoolName, waiting int) {
	n.queued.WithLabelValues(string(pool)).Set(float64(waiting))
}

// SampleDelivered counts a delivered sample of an age in weight versions.
func (n *Node) SampleDelivered(pool port.PoolName, age uint64) {
	n.delivered.WithLabelValues(string(pool)).Inc()
	n.staleness.WithLabelValues(string(pool)).Observe(float64(age))
}

// DropReason says why a sample was not delivered.
type DropReason string

// The reasons.
const (
	DropStale  DropReason = "stale"
	DropVoided DropReason = "voided"
)

// SampleDropped counts a sample that was dropped.
func (n *Node) SampleDropped(pool port.PoolName, reason DropReason) {
	n.dropped.WithLabelValues(string(pool), string(reason)).Inc()
}

// TrainerWaited measures how long a question for a batch was held.
func (n *Node) TrainerWaited(pool port.PoolName, waited time.Duration) {
	n.trainerWait.WithLabelValues(string(pool)).Observe(waited.Seconds())
}

// CountControlBytes sets where the bytes exchanged with control members are
// read from. It is called at most once.
func (n *Node) CountControlBytes(read func() (sent, received uint64)) {
	countBytes(n.registry, "control_bytes_total", "Bytes exchanged with control members, by direction.", read)
}

// CountPeerBytes sets where the bytes on connections that other nodes opened are
// read from. It is called at most once.
func (n *Node) CountPeerBytes(read func() (sent, received uint64)) {
	countBytes(n.registry, "peer_bytes_total", "Bytes on connections that other nodes opened, by direction.", read)
}

// Forget drops the measures of a pool that is no longer configured.
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
