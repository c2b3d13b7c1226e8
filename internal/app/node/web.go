package node

import (
	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

var _ httpapi.Backend = (*Node)(nil)

// serve starts the listeners for peers and callers.
func (n *Node) serve() {
	n.servePeers()
	n.work.Go(func() { _ = n.server.Serve(n.config.PeerListener) })
	n.web.Start(n.background, n.config.HTTPListener)
}

// newWeb makes the server for callers, trainers and operators.
func newWeb(n *Node) *httpapi.Server {
	return httpapi.New(httpapi.Config{
		Backend:       n,
		OperatorToken: n.config.OperatorToken,
		Metrics:       n.metrics.Handler(),
		Recorder:      n.metrics,
		Panicked: func(recovered any, stack []byte) {
			n.config.Logger.Error().Any("panic", recovered).Bytes("stack", stack).Msg("a request panicked")
		},
		Limits: n.config.HTTPLimits,
	})
}

// trafficCounter is a way to control that counts its bytes.
type trafficCounter interface {
	Traffic() (sent, received uint64)
}

// countTraffic lets the measures read the bytes of the internal protocol.
func (n *Node) countTraffic() {
	if counted, counts := n.config.Control.(trafficCounter); counts {
		n.metrics.CountControlBytes(counted.Traffic)
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

// countDropped counts samples that won't be delivered.
func (w *poolWorker) countDropped(decided port.Decision) {
	switch decided.Kind {
	case port.DecisionStale:
		w.node.metrics.SampleDropped(w.pool, metrics.DropStale)
	case port.DecisionVoided:
		w.node.metrics.SampleDropped(w.pool, metrics.DropVoided)
	}
}
