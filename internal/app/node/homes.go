package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// loadReported is the outcome of a load request to an engine.
type loadReported struct {
	replica     port.ReplicaID
	requestedAt time.Time
	report      port.LoadReport
	err         *port.Error
}

func (e loadReported) apply(c *controller, now time.Time) {
	c.state.HandleLoadReport(now, e.requestedAt, e.replica, e.report, e.err)
}

// enginePoll controls the polling of one engine.
type enginePoll struct {
	// cancel stops the polling.
	cancel context.CancelFunc
	// interval is the poll interval in nanoseconds, set by the control goroutine.
	interval atomic.Int64
}

// startPoll starts polling an engine.
func (c *controller) startPoll(poll nodestate.Poll) {
	ctx, cancel := context.WithCancel(c.node.background)
	started := &enginePoll{cancel: cancel}
	c.polls[poll.Replica.ID] = started
	c.node.work.Go(func() { c.node.pollEngine(ctx, started, poll.Replica, poll.Gate.(*gate.Gate)) })
}

func (c *controller) stopPoll(id port.ReplicaID) {
	if poll := c.polls[id]; poll != nil {
		poll.cancel()
		delete(c.polls, id)
	}
}

// updatePollIntervals sets the poll interval of each engine.
func (c *controller) updatePollIntervals(now time.Time) {
	for id, poll := range c.polls {
		poll.interval.Store(int64(c.state.PollInterval(now, id)))
	}
}

func (c *controller) stopPolls() {
	for id := range c.polls {
		c.stopPoll(id)
	}
}

// pollEngine polls an engine's load and cache events until ctx ends. It checks at the
// min interval whether a poll is due, so that a shorter interval takes effect
// immediately.
func (n *Node) pollEngine(ctx context.Context, poll *enginePoll, replica port.Replica, owned *gate.Gate) {
	engine := n.backEnds.engine(replica.Address)
	minInterval := n.config.Intervals.Load
	ticker := time.NewTicker(minInterval)
	defer ticker.Stop()
	var polled time.Time
	for {
		if now := time.Now(); home.PollDue(now.Sub(polled), time.Duration(poll.interval.Load()), minInterval) {
			polled = now
			n.pollOnce(ctx, engine, replica.ID, owned)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) pollOnce(ctx context.Context, engine port.Engine, replica port.ReplicaID, owned *gate.Gate) {
	callCtx, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	requestedAt := time.Now()
	report, err := engine.Load(callCtx)
	if ctx.Err() != nil {
		return
	}
	n.post(loadReported{replica: replica, requestedAt: requestedAt, report: report, err: port.AsError(err)})
	if err != nil {
		return
	}
	events, gap, err := engine.CacheEvents(callCtx, owned.LastCacheEvent(replica))
	if err == nil {
		owned.CacheEvents(replica, events, gap)
	}
}

// outcomesMessage carries the outcomes of calls to replicas of this home.
type outcomesMessage struct{ outcomes []nodestate.CallOutcome }

func (e outcomesMessage) apply(c *controller, now time.Time) { c.state.HandleOutcomes(now, e.outcomes) }

// callEnded is the outcome of an application call made by this node.
type callEnded struct{ outcome nodestate.CallOutcome }

func (e callEnded) apply(c *controller, now time.Time) { c.state.HandleCallOutcome(now, e.outcome) }
