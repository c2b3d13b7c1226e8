package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// publicationTimeout limits the notification of the coordinator, which delays the
// publication. The publication continues without a coordinator that does not answer.
const publicationTimeout = 250 * time.Millisecond

// publicationNotice passes a publicationCall to the coordinator.
type publicationNotice struct {
	call    publicationCall
	applied chan struct{}
}

func (e publicationNotice) apply(w *poolWorker, now time.Time) {
	if e.call.Ended {
		w.step(now, coordinator.PublicationEnded{Version: e.call.Version, Published: e.call.Published})
	} else {
		w.step(now, coordinator.PublicationStarted{Version: e.call.Version})
	}
	close(e.applied)
}

// notifyCoordinator notifies the pool's coordinator, on this or another node, of a
// publication, and waits for the acknowledgement even if the publisher cancels. It does
// nothing if the pool has no coordinator.
func (n *Node) notifyCoordinator(ctx context.Context, call publicationCall) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), publicationTimeout)
	defer cancel()
	if failure := n.sendToCoordinator(ctx, call); failure != nil {
		n.config.Logger.Warn().Str("pool", string(call.Pool)).Uint64("version", uint64(call.Version)).Bool("ended", call.Ended).
			Err(failure).Msg("failed to notify the pool's coordinator of a publication")
	}
}

func (n *Node) sendToCoordinator(ctx context.Context, call publicationCall) *port.Error {
	if worker := n.sampling.worker(call.Pool); worker != nil {
		return worker.notifyPublication(ctx, call)
	}
	holder, known := n.coordinatorOf(call.Pool)
	if !known {
		return nil
	}
	var answer publicationAnswer
	return n.peers.call(ctx, holder.PeerAddress, methodPublication, call, &answer)
}

// handlePublication passes a publication to the coordinator that runs here.
func (n *Node) handlePublication(ctx context.Context, call publicationCall) (publicationAnswer, *port.Error) {
	worker := n.sampling.worker(call.Pool)
	if worker == nil {
		return publicationAnswer{}, noCoordinatorError(call.Pool)
	}
	return publicationAnswer{}, worker.notifyPublication(ctx, call)
}

// notifyPublication passes a publication to the coordinator and waits until it has
// applied it.
func (w *poolWorker) notifyPublication(ctx context.Context, call publicationCall) *port.Error {
	notice := publicationNotice{call: call, applied: make(chan struct{})}
	select {
	case w.events <- notice:
	case <-w.closed:
		return noCoordinatorError(w.pool)
	case <-ctx.Done():
		return contextError(ctx)
	}
	select {
	case <-notice.applied:
		return nil
	case <-w.closed:
		return noCoordinatorError(w.pool)
	case <-ctx.Done():
		return contextError(ctx)
	}
}
