package sitecontrol

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// watchInterval is the least time between two updates of one watcher, so that
	// a burst of changes goes out as one.
	watchInterval = 20 * time.Millisecond
	// watcherInterval is by how much it grows with each watcher of this member. An update
	// costs about 60 µs of processor time whatever is in it, so that all watchers together
	// take a twentieth of a core at most, however many they are; with 140 of them, those of
	// 2,000 machines at 14 members, a change leaves within 0.16 s.
	watcherInterval = time.Millisecond
)

// updatePause is the least time between two updates of one of so many watchers.
func updatePause(watchers int) time.Duration {
	return watchInterval + time.Duration(watchers)*watcherInterval
}

func memberID(position int) consensus.MemberID { return consensus.MemberID(position + 1) }

func (c *Control) registerWatch(server *wire.Server) {
	server.Handle(siteview.MethodWatch, c.serveWatch)
}

// wakeAll tells all watchers of a change; it does not wait.
func (c *Control) wakeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for wake := range c.wakes {
		wakeUp(wake)
	}
}

func wakeUp(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (c *Control) addWake() chan struct{} {
	wake := make(chan struct{}, 1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.wakes[wake] = struct{}{}
	return wake
}

func (c *Control) removeWake(wake chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.wakes, wake)
}

// serveWatch streams updates to one observer, and heartbeats while there are
// none. It ends when this member is out of touch with a quorum: an observer
// that begins must see all that was accepted before.
func (c *Control) serveWatch(ctx context.Context, call *wire.Call) error {
	var request siteview.WatchRequest
	if err := call.Decode(&request); err != nil {
		return err
	}
	wake := c.addWake()
	defer c.removeWake(wake)
	after, told, sent := request.After, 0, time.Time{}
	for {
		shown := c.member.PublishedState()
		if shown == nil {
			return port.NewError(port.NotRun, port.CodeUnavailable, "this member takes no part yet")
		}
		answer, err := c.answerAfter(ctx, after, request.Interest)
		if err != nil {
			return err
		}
		if !shown.Confirmed {
			return c.sendUnconfirmed(call, answer)
		}
		update := &answer.Update
		update.Confirmed = true
		if count := len(shown.Records); count != told {
			told, update.Members = count, shown.Records
		}
		if len(answer.Whole) > 0 || !update.Empty() || time.Since(sent) >= siteview.HeartbeatInterval {
			if err := call.Send(answer); err != nil {
				return err
			}
			sent = time.Now()
		}
		after = max(after, update.Position)
		if c.view.Load().Position > after {
			wakeUp(wake) // the update was one that others got a moment ago
		}
		if err := awaitNews(ctx, wake, sent, updatePause(c.watchers())); err != nil {
			return err
		}
	}
}

// sendUnconfirmed shows the state of a member that is out of touch with a
// quorum, marked as such, and ends the watch.
func (c *Control) sendUnconfirmed(call *wire.Call, answer siteview.WatchAnswer) error {
	answer.Update.Confirmed = false
	if err := call.Send(answer); err != nil {
		return err
	}
	return port.NewError(port.NotRun, port.CodeUnavailable, "this member is out of touch with a quorum")
}

// answerAfter gives what a watcher at a position lacks; one that has nothing gets a whole
// state and what has changed since.
func (c *Control) answerAfter(ctx context.Context, after uint64, interest sitestate.Interest) (siteview.WatchAnswer, error) {
	if view := c.view.Load(); after == 0 && view.Position > 0 {
		packed, position, err := c.whole.get(view, time.Now())
		if err != nil {
			return siteview.WatchAnswer{}, err
		}
		recent, err := c.updateAfter(ctx, position, interest)
		if err != nil {
			return siteview.WatchAnswer{}, err
		}
		return siteview.WatchAnswer{Whole: packed, Update: recent.update}, nil
	}
	recent, err := c.updateAfter(ctx, after, interest)
	if err != nil {
		return siteview.WatchAnswer{}, err
	}
	return recent.answer(), nil
}

func (c *Control) updateAfter(ctx context.Context, after uint64, interest sitestate.Interest) (*recentUpdate, error) {
	if view := c.view.Load(); after > 0 && view.Position <= after {
		return &recentUpdate{update: sitestate.Update{Position: view.Position}}, nil
	}
	return c.recent.get(newsKey{after: after, interest: interest}, updatePause(c.watchers()), func() (sitestate.Update, error) {
		// The look may still come when the call was given up: nothing else touches update then.
		var update sitestate.Update
		err := c.member.Inspect(ctx, func(machine groupmember.StateMachine) {
			update = machine.(*sitestate.State).Update(after, interest)
		})
		if err != nil {
			return sitestate.Update{}, port.NewError(port.NotRun, port.CodeUnavailable, "%v", err)
		}
		return update, nil
	})
}

// awaitNews waits for a change, a pause at least, or until a heartbeat is due.
func awaitNews(ctx context.Context, wake <-chan struct{}, sent time.Time, pause time.Duration) error {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-wake:
	case <-time.After(siteview.HeartbeatInterval - time.Since(sent)):
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
