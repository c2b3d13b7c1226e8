package fault

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of the control log.
const (
	replication   = 4 * time.Millisecond
	houseInterval = time.Second
	nodeSilence   = 10 * time.Second
	watchInterval = 50 * time.Millisecond
	confirmEvery  = 10 // watch intervals
)

// control is the replicated control state as its leader applies it. Members are
// not modelled: the log has outages, in which it takes nothing, proposals that
// are lost, and answers that are lost after the command took effect.
type control struct {
	process
	world   *world
	state   *controlstate.State
	index   uint64
	reports map[port.NodeID]time.Duration
	watcher controlmember.NodeTimeouts
	// downUntil is the end of an outage; loseProposals and loseAnswers count the
	// proposals that meet a fault.
	downUntil                  time.Duration
	firstEpoch                 port.Epoch
	loseProposals, loseAnswers int
	// viewLag delays the views that a member gives out.
	viewLag time.Duration
}

func (w *world) newControl() *control {
	c := &control{
		process: process{name: "control", zone: outside, up: true, internal: true}, world: w,
		state: controlstate.New(), reports: make(map[port.NodeID]time.Duration),
	}
	w.queue.Every(houseInterval, houseInterval, c.keepHouse)
	return c
}

func (c *control) available() bool { return c.world.queue.Now() >= c.downUntil }

// apply puts a command through the log.
func (c *control) apply(command port.Command) port.Result {
	c.index++
	command.Time = c.world.clock().UnixMilli()
	return c.state.Apply(c.index, 1, command)
}

// mustApply sets the site up.
func (c *control) mustApply(command port.Command) error {
	if result := c.apply(command); result.Error != nil {
		return result.Error
	}
	return nil
}

func (c *control) changeID(note string) string {
	return registry.FormatChangeID(c.world.clock(), []byte(note))
}

// propose puts a command of a process through the log. Answered is called once,
// while the process lives: with the result, or with an error that says nothing
// about whether the command took effect.
func (c *control) propose(from *process, command port.Command, timeout time.Duration, answered func(port.Result, *port.Error)) {
	w := c.world
	done := false
	life := from.life
	finish := func(result port.Result, failure *port.Error) {
		if !done && from.up && from.life == life {
			done = true
			answered(result, failure)
		}
	}
	w.after(timeout, func() {
		finish(port.Result{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "control gave no answer in time"))
	})
	if c.loseProposals > 0 {
		c.loseProposals--
		return
	}
	w.tell(from, &c.process, func() {
		if !c.available() {
			return
		}
		w.after(replication, func() {
			if !c.available() {
				return
			}
			result := c.apply(command)
			c.skipPrompts(&command, &result)
			if c.loseAnswers > 0 {
				c.loseAnswers--
				return
			}
			w.tell(&c.process, from, func() { finish(result, nil) })
		})
	})
}

// skippedPrompts are passed over where the safeguard is off.
const skippedPrompts = 300

// skipPrompts lets a later coordinator pass over the prompts of the one before,
// for tests of the audit.
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

// report takes a node's word that it lives.
func (c *control) report(report port.NodeReport) {
	c.reports[report.Node.ID] = c.world.queue.Now()
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

// keepHouse takes silent nodes out of the view.
func (c *control) keepHouse() {
	if !c.available() {
		c.watcher.Reset()
		return
	}
	now := c.world.queue.Now()
	ages := make(map[port.NodeID]time.Duration, len(c.reports))
	for node, at := range c.reports {
		ages[node] = now - at
	}
	for _, node := range c.watcher.TimedOut(c.state.View().Nodes, ages, c.world.clock(), nodeSilence) {
		c.apply(port.Command{RemoveNode: &port.RemoveNode{ID: node}})
	}
}

// watch brings views to a node: each change, and now and then a confirmation.
func (c *control) watch(n *node) {
	life, position, turn := n.life, uint64(0), 0
	var look func()
	look = func() {
		if n.life != life {
			return
		}
		turn++
		view := c.state.View()
		if c.available() && (view.Position != position || turn%confirmEvery == 0) {
			position = view.Position
			update := port.ViewUpdate{
				Position: view.Position, Term: view.Term, Revision: view.Revision, Full: view, Confirmed: true,
			}
			c.world.after(c.viewLag, func() {
				c.world.tell(&c.process, &n.process, func() { n.viewUpdate(update) })
			})
		}
		c.world.after(watchInterval, look)
	}
	look()
}
