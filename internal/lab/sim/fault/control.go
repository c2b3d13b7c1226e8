package fault

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of the control log.
const (
	replicationDelay    = 4 * time.Millisecond
	nodeTimeoutInterval = time.Second
	nodeTimeout         = 10 * time.Second
	watchInterval       = 50 * time.Millisecond
	confirmEvery        = 10 // watch intervals
)

// control is the replicated control state as its leader applies it. Members are
// not modelled; the log has outages, lost proposals and lost answers.
type control struct {
	process
	world      *world
	state      *controlstate.State
	index      uint64
	reportedAt map[port.NodeID]time.Duration
	timeouts   controlmember.NodeTimeouts
	// downUntil is the end of an outage; loseProposals and loseAnswers count the
	// upcoming proposals and answers to drop.
	downUntil                  time.Duration
	firstEpoch                 port.Epoch
	loseProposals, loseAnswers int
	// viewLag delays the views sent to nodes.
	viewLag time.Duration
}

func (w *world) newControl() *control {
	c := &control{
		process: process{name: "control", zone: outside, up: true, internal: true}, world: w,
		state: controlstate.New(), reportedAt: make(map[port.NodeID]time.Duration),
	}
	w.queue.Every(nodeTimeoutInterval, nodeTimeoutInterval, c.removeTimedOutNodes)
	return c
}

func (c *control) available() bool { return c.world.queue.Now() >= c.downUntil }

// apply applies a command immediately.
func (c *control) apply(command port.Command) port.Result {
	c.index++
	command.Time = c.world.clock().UnixMilli()
	return c.state.Apply(c.index, 1, command)
}

// applyChecked applies a command and returns the error of its result.
func (c *control) applyChecked(command port.Command) error {
	if result := c.apply(command); result.Error != nil {
		return result.Error
	}
	return nil
}

func (c *control) changeID(note string) string {
	return registry.FormatChangeID(c.world.clock(), []byte(note))
}

// propose submits a command of a process to the log. It calls answered at most
// once, and only while the process is up; after an error the outcome is unknown.
func (c *control) propose(from *process, command port.Command, timeout time.Duration, answered func(port.Result, *port.Error)) {
	w := c.world
	done := false
	incarnation := from.incarnation
	finish := func(result port.Result, failure *port.Error) {
		if !done && from.up && from.incarnation == incarnation {
			done = true
			answered(result, failure)
		}
	}
	w.after(timeout, func() {
		finish(port.Result{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "control did not answer before the timeout"))
	})
	if c.loseProposals > 0 {
		c.loseProposals--
		return
	}
	w.sendMessage(from, &c.process, func() {
		if !c.available() {
			return
		}
		w.after(replicationDelay, func() {
			if !c.available() {
				return
			}
			result := c.apply(command)
			c.skipPrompts(&command, &result)
			if c.loseAnswers > 0 {
				c.loseAnswers--
				return
			}
			w.sendMessage(&c.process, from, func() { finish(result, nil) })
		})
	})
}

// skippedPrompts is the number of prompts skipped without SafeguardPrompts.
const skippedPrompts = 300

// skipPrompts makes a later coordinator skip prompts of its predecessor when
// SafeguardPrompts is off.
func (c *control) skipPrompts(command *port.Command, result *port.Result) {
	if command.CommitBatch == nil || result.Ledger == nil || !c.world.without(SafeguardPrompts) {
		return
	}
	epoch := command.CommitBatch.CoordinatorEpoch
	if c.firstEpoch == 0 {
		c.firstEpoch = epoch
	}
	if epoch > c.firstEpoch {
		skipped := *result.Ledger
		skipped.PromptsBelow += skippedPrompts
		result.Ledger = &skipped
	}
}

// report handles a node's heartbeat.
func (c *control) report(report port.NodeReport) {
	c.reportedAt[report.Node.ID] = c.world.queue.Now()
	if !c.available() {
		return
	}
	for _, node := range c.state.View().Nodes {
		if node == report.Node {
			return
		}
	}
	c.apply(port.Command{RegisterNode: &port.RegisterNode{Node: report.Node}})
}

// removeTimedOutNodes removes nodes without recent reports from the view.
func (c *control) removeTimedOutNodes() {
	if !c.available() {
		c.timeouts.Reset()
		return
	}
	now := c.world.queue.Now()
	ages := make(map[port.NodeID]time.Duration, len(c.reportedAt))
	for node, at := range c.reportedAt {
		ages[node] = now - at
	}
	for _, node := range c.timeouts.TimedOut(c.state.View().Nodes, ages, c.world.clock(), nodeTimeout) {
		c.apply(port.Command{RemoveNode: &port.RemoveNode{ID: node}})
	}
}

// watch sends a node every view change and a periodic confirmation.
func (c *control) watch(n *node) {
	incarnation, position, checks := n.incarnation, uint64(0), 0
	var check func()
	check = func() {
		if n.incarnation != incarnation {
			return
		}
		checks++
		view := c.state.View()
		if c.available() && (view.Position != position || checks%confirmEvery == 0) {
			position = view.Position
			update := port.ViewUpdate{
				Position: view.Position, Term: view.Term, Revision: view.Revision, Full: view, Confirmed: true,
			}
			c.world.after(c.viewLag, func() {
				c.world.sendMessage(&c.process, &n.process, func() { n.viewUpdate(update) })
			})
		}
		c.world.after(watchInterval, check)
	}
	check()
}
