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

// loadReported is the outcome of one question to an engine.
type loadReported struct {
	replica port.ReplicaID
	askedAt time.Time
	report  port.LoadReport
	err     *port.Error
}

func (e loadReported) apply(c *controller, now time.Time) {
	c.state.HandleLoadReport(now, e.askedAt, e.replica, e.report, e.err)
}

// enginePoll is the polling of one engine.
type enginePoll struct {
	// end stops it.
	end context.CancelFunc
	// interval is the time between two polls in nanoseconds; the control goroutine
	// sets it.
	interval atomic.Int64
}

// startPoll polls an engine from now on.
func (c *controller) startPoll(poll nodestate.Poll) {
	ctx, cancel := context.WithCancel(c.node.background)
	started := &enginePoll{end: cancel}
	c.polls[poll.Replica.ID] = started
	c.node.work.Go(func() { c.node.pollEngine(ctx, started, poll.Replica, poll.Gate.(*gate.Gate)) })
}

func (c *controller) stopPoll(id port.ReplicaID) {
	if held := c.polls[id]; held != nil {
		held.end()
		delete(c.polls, id)
	}
}

// pacePolls sets the time between two polls of each engine.
func (c *controller) pacePolls(now time.Time) {
	for id, held := range c.polls {
		held.interval.Store(int64(c.state.PollInterval(now, id)))
	}
}

func (c *controller) stopPolls() {
	for id := range c.polls {
		c.stopPoll(id)
	}
}

// pollEngine asks an engine for its load and cache events until ctx ends. It
// looks at the least interval whether to, so that a shorter pace holds at once.
func (n *Node) pollEngine(ctx context.Context, poll *enginePoll, replica port.Replica, owned *gate.Gate) {
	engine := n.backEnds.engine(replica.Address)
	look := n.config.Intervals.Load
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	var polled time.Time
	for {
		if now := time.Now(); home.PollDue(now.Sub(polled), time.Duration(poll.interval.Load()), look) {
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
	asking, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := engine.Load(asking)
	if ctx.Err() != nil {
		return
	}
	n.post(loadReported{replica: replica, askedAt: askedAt, report: report, err: port.AsError(err)})
	if err != nil {
		return
	}
	events, gap, err := engine.CacheEvents(asking, owned.NextCacheEvent(replica))
	if err == nil {
		owned.CacheEvents(replica, events, gap)
	}
}

// outcomesTaken brings the outcomes of calls to replicas of this home.
type outcomesTaken struct{ outcomes []nodestate.CallOutcome }

func (e outcomesTaken) apply(c *controller, now time.Time) { c.state.HandleOutcomes(now, e.outcomes) }

// callEnded is the end of an application call made by this node.
type callEnded struct{ outcome nodestate.CallOutcome }

func (e callEnded) apply(c *controller, now time.Time) { c.state.HandleCallOutcome(now, e.outcome) }
