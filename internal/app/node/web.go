package node

import (
	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

var _ httpapi.Backend = (*Node)(nil)

// serve starts to serve peers and callers.
func (n *Node) serve() {
	n.servePeers()
	n.work.Go(func() { _ = n.server.Serve(n.config.PeerListener) })
	n.web.Start(n.background, n.config.HTTPListener)
}

// newWeb returns the HTTP server for callers, trainers and operators.
func newWeb(n *Node) *httpapi.Server {
	return httpapi.New(httpapi.Config{
		Backend:       n,
		Cluster:       n.config.ClusterID,
		OperatorToken: n.config.OperatorToken,
		Metrics:       n.metrics.Handler(),
		Recorder:      n.metrics,
		OnPanic: func(recovered any, stack []byte) {
			n.config.Logger.Error().Any("panic", recovered).Bytes("stack", stack).Msg("a request panicked")
		},
		Limits: n.config.HTTPLimits,
	})
}

// trafficCounter is implemented by a control client that counts its bytes.
type trafficCounter interface {
	Traffic() (sent, received uint64)
}

// countTraffic adds the bytes of the internal protocol to the metrics.
func (n *Node) countTraffic() {
	if counter, ok := n.config.Control.(trafficCounter); ok {
		n.metrics.CountControlBytes(counter.Traffic)
	}
	n.metrics.CountPeerBytes(func() (sent, received uint64) {
		totals := n.server.Totals()
		return totals.BytesOut, totals.BytesIn
	})
}

// countDelivered counts the samples of a delivered batch by their age.
func (w *poolWorker) countDelivered(action *coordinator.Deliver) {
	for _, sample := range action.Samples {
		oldest := port.OldestVersion(sample.Spans)
		age := uint64(0)
		if action.TrainerVersion > oldest {
			age = uint64(action.TrainerVersion - oldest)
		}
		w.node.metrics.SampleDelivered(w.pool, age)
	}
}

// countDropped counts samples that will not be delivered.
func (w *poolWorker) countDropped(d port.Decision) {
	switch d.Kind {
	case port.DecisionStale:
		w.node.metrics.SampleDropped(w.pool, metrics.DropStale)
	case port.DecisionVoided:
		w.node.metrics.SampleDropped(w.pool, metrics.DropVoided)
	}
}
