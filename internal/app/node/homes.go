package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
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
	c.state.LoadReported(now, e.askedAt, e.replica, e.report, e.err)
}

// startPoll polls an engine from now on.
func (c *controller) startPoll(poll nodestate.Poll) {
	ctx, cancel := context.WithCancel(c.node.background)
	c.polls[poll.Replica.ID] = cancel
	c.node.work.Go(func() { c.node.pollEngine(ctx, poll.Replica, poll.Gate.(*gate.Gate)) })
}

func (c *controller) stopPoll(id port.ReplicaID) {
	if cancel := c.polls[id]; cancel != nil {
		cancel()
		delete(c.polls, id)
	}
}

func (c *controller) stopPolls() {
	for id := range c.polls {
		c.stopPoll(id)
	}
}

// pollEngine asks an engine for its load and cache events until ctx ends.
func (n *Node) pollEngine(ctx context.Context, replica port.Replica, owned *gate.Gate) {
	engine := n.backEnds.engine(replica.Address)
	ticker := time.NewTicker(n.config.Intervals.Load)
	defer ticker.Stop()
	for {
		n.pollOnce(ctx, engine, replica.ID, owned)
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

func (e outcomesTaken) apply(c *controller, now time.Time) { c.state.Outcomes(now, e.outcomes) }

// callEnded is the end of an application call made by this node.
type callEnded struct{ outcome nodestate.CallOutcome }

func (e callEnded) apply(c *controller, now time.Time) { c.state.CallEnded(now, e.outcome) }
