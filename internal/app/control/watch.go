package control

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// watchInterval is the minimum time between two updates of one watch.
	watchInterval = 10 * time.Millisecond
	// firstViewTimeout limits the wait for an observer's first view.
	firstViewTimeout = 5 * time.Second
	// maxWatches limits the watches of a member.
	maxWatches = 4096
)

// watches wakes the open watches when the view has changed.
type watches struct {
	mutex sync.Mutex
	open  map[chan struct{}]struct{}
}

func newWatches() *watches { return &watches{open: make(map[chan struct{}]struct{})} }

func (w *watches) add() (chan struct{}, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.open) >= maxWatches {
		return nil, false
	}
	wake := make(chan struct{}, 1)
	w.open[wake] = struct{}{}
	return wake, true
}

func (w *watches) remove(wake chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.open, wake)
}

func (w *watches) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.open)
}

func (w *watches) wakeAll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for wake := range w.open {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// serveWatch streams updates to one observer: first the changes it lacks, then new
// changes, and a heartbeat when there are none. An observer without a view may have
// served the latest one before it restarted, so its first view must be
// linearizable; without a leader it receives none.
func (m *Member) serveWatch(ctx context.Context, call *wire.Call) error {
	var request controlclient.WatchRequest
	if err := call.Decode(&request); err != nil {
		return err
	}
	wake, added := m.watches.add()
	if !added {
		return port.NewError(port.NotRun, port.CodeQueueFull, "%d watches are open, which is the limit", maxWatches)
	}
	defer m.watches.remove(wake)
	if request.After == 0 {
		if err := m.awaitLatest(ctx); err != nil {
			return err
		}
	}
	heartbeat := time.NewTicker(controlclient.HeartbeatInterval)
	defer heartbeat.Stop()
	after := request.After
	for {
		update, err := m.updateAfter(ctx, after)
		if err != nil {
			return err
		}
		if err := call.Send(update); err != nil {
			return err
		}
		after = max(after, update.Position)
		if err := m.waitForChange(ctx, wake, heartbeat.C); err != nil {
			return err
		}
	}
}

// awaitLatest blocks until this member has applied every change that was accepted
// before the call.
func (m *Member) awaitLatest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstViewTimeout)
	defer cancel()
	return m.readState(ctx, func(*controlmember.Member) {})
}

// waitForChange blocks until the next change or heartbeat, but at least for
// watchInterval.
func (m *Member) waitForChange(ctx context.Context, wake <-chan struct{}, heartbeat <-chan time.Time) error {
	pause := time.NewTimer(watchInterval)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-wake:
		return nil
	case <-heartbeat:
		return nil
	case <-m.stopping:
		return port.NewError(port.NotRun, port.CodeDraining, "the control member is stopping")
	case <-m.loop().stopped:
		return errStopped()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// updateAfter returns the update from position after. It uses the loop only if
// there are changes.
func (m *Member) updateAfter(ctx context.Context, after uint64) (port.ViewUpdate, error) {
	l := m.loop()
	published := l.published.Load()
	if after >= published.view.Position && after > 0 {
		return m.confirm(port.ViewUpdate{
			After: after, Position: published.view.Position,
			Term: published.view.Term, Revision: published.view.Revision,
		}, published), nil
	}
	var update port.ViewUpdate
	if err := m.inLoop(ctx, func(l *loop) { update = l.member.Update(after) }); err != nil {
		return port.ViewUpdate{}, err // the loop may still write update
	}
	return m.confirm(update, l.published.Load()), nil
}

// confirm sets Confirmed if this member is caught up, in contact with a quorum and
// not behind the observer.
func (m *Member) confirm(update port.ViewUpdate, published *loopStatus) port.ViewUpdate {
	update.Confirmed = update.Position >= update.After && published.confirmed(m.config.Clock(), m.config.electionTimeout())
	return update
}
