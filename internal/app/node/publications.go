package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// publicationTimeout bounds telling the coordinator of a publication, which waits for
// it. One that does not answer is not in touch, and the publication goes on.
const publicationTimeout = 250 * time.Millisecond

// publicationTold brings the news of a publication to the coordinator.
type publicationTold struct {
	news publicationCall
	done chan struct{}
}

func (e publicationTold) apply(w *poolWorker, now time.Time) {
	if e.news.Ended {
		w.step(now, coordinator.PublicationEnded{Version: e.news.Version, Published: e.news.Published})
	} else {
		w.step(now, coordinator.PublicationBegun{Version: e.news.Version})
	}
	close(e.done)
}

// tellCoordinator tells the pool's coordinator, here or at another node, of a
// publication and waits until it knows, also if the publisher left. Without a
// coordinator there is nothing to tell.
func (n *Node) tellCoordinator(ctx context.Context, news publicationCall) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), publicationTimeout)
	defer cancel()
	if failure := n.sendToCoordinator(ctx, news); failure != nil {
		n.config.Logger.Warn().Str("pool", string(news.Pool)).Uint64("version", uint64(news.Version)).Bool("ended", news.Ended).
			Err(failure).Msg("the pool's coordinator was not told of a publication")
	}
}

func (n *Node) sendToCoordinator(ctx context.Context, news publicationCall) *port.Error {
	if worker := n.sampling.worker(news.Pool); worker != nil {
		return worker.publication(ctx, news)
	}
	holder, known := n.coordinatorOf(news.Pool)
	if !known {
		return nil
	}
	var taken publicationAnswer
	return n.peers.call(ctx, holder.PeerAddress, methodPublication, news, &taken)
}

// handlePublication takes the news of a publication for the coordinator that runs here.
func (n *Node) handlePublication(ctx context.Context, news publicationCall) (publicationAnswer, *port.Error) {
	worker := n.sampling.worker(news.Pool)
	if worker == nil {
		return publicationAnswer{}, notCoordinator(news.Pool)
	}
	return publicationAnswer{}, worker.publication(ctx, news)
}

// publication hands the news of a publication to the coordinator and waits until it
// has it.
func (w *poolWorker) publication(ctx context.Context, news publicationCall) *port.Error {
	told := publicationTold{news: news, done: make(chan struct{})}
	select {
	case w.events <- told:
	case <-w.closed:
		return notCoordinator(w.pool)
	case <-ctx.Done():
		return contextError(ctx)
	}
	select {
	case <-told.done:
		return nil
	case <-w.closed:
		return notCoordinator(w.pool)
	case <-ctx.Done():
		return contextError(ctx)
	}
}
