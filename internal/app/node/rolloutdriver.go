package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// orderTimeout limits the wait for an engine's answer to one order.
const orderTimeout = 15 * time.Second

// orderAnswered passes the outcome of an order to its rollout.
type orderAnswered struct {
	pool  port.PoolName
	event rollout.OrderAnswered
}

func (e orderAnswered) apply(w *poolWorker, now time.Time) {
	w.carryOut(w.machine.OrderAnswered(now, e.pool, e.event))
}

// sendOrder sends an order to the replica's home, unless the configuration is
// unconfirmed.
func (w *poolWorker) sendOrder(action poolworker.Order) {
	ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
	defer cancel()
	send := action.Send
	event := rollout.OrderAnswered{Replica: send.Replica, Order: send.Order, Err: unconfirmedError()}
	if w.node.confirmed() {
		event.Report, event.Err = w.node.order(ctx, peerapi.OrderCall{Replica: send.Replica, Order: send.Order})
	}
	w.post(orderAnswered{pool: action.Rollout, event: event})
}

// order sends a fenced order to the replica's home.
func (n *Node) order(ctx context.Context, call peerapi.OrderCall) (port.LoadReport, *port.Error) {
	home, found := n.homeNode(call.Replica)
	if !found {
		return port.LoadReport{}, port.NewError(port.NotRun, port.CodeUnavailable, "replica %s has no home", call.Replica)
	}
	if home.ID == n.config.ID {
		return n.serveOrder(ctx, call)
	}
	var report port.LoadReport
	failure := n.peers.call(ctx, home.PeerAddress, peerapi.MethodOrder, call, &report)
	return report, failure
}

// serveOrder sends an order to the engine and uses its answer as a load report.
func (n *Node) serveOrder(ctx context.Context, call peerapi.OrderCall) (port.LoadReport, *port.Error) {
	replica, configured := n.snapshot.Load().Replicas[call.Replica]
	if !configured {
		return port.LoadReport{}, port.NewError(port.NotRun, port.CodeNotFound, "no replica %s", call.Replica)
	}
	requestedAt := time.Now()
	report, err := n.backEnds.engine(replica.Address).Order(ctx, call.Order)
	if err != nil {
		return port.LoadReport{}, port.AsError(err)
	}
	n.post(loadReported{replica: call.Replica, requestedAt: requestedAt, report: report})
	return report, nil
}

// homeNode returns the home node of a replica in any zone.
func (n *Node) homeNode(id port.ReplicaID) (port.NodeAddress, bool) {
	return n.snapshot.Load().HomeOf(id)
}
