package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Numbers of the sampling model.
const (
	// progressInterval paces the news of a running sample. A node sends it each
	// second; here it comes more rarely, and pages scale its cost.
	progressInterval = 10 * time.Second
	// longestSample bounds a sample's time in medians.
	longestSample = 4
	scoreTime     = 100 * time.Millisecond
	fetchTime     = 10 * time.Millisecond
	trainTime     = 5 * time.Second
	promptBytes   = 2048
)

// run is one attempt at a sample.
type run struct {
	action      coordinator.StartSample
	engine      *engine
	home        *node
	incarnation uint64
	ended       bool
}

// step hands an event to the coordinator and carries its actions out.
func (c *coordination) step(event coordinator.Event) {
	if c.done || c.coordinator == nil {
		return
	}
	for _, action := range c.coordinator.Step(c.node.fleet.wall(), event) {
		c.carryOut(action)
	}
}

func (c *coordination) carryOut(action coordinator.Action) {
	f := c.node.fleet
	switch action := action.(type) {
	case coordinator.FetchPrompts:
		f.later(c, fetchTime, func() { c.step(prompts(action)) })
	case coordinator.StartSample:
		c.startSample(action)
	case coordinator.CancelSample:
		c.cancel(action)
	case coordinator.ScoreSample:
		f.later(c, scoreTime, func() { c.step(coordinator.Scored{ID: action.ID, Reward: 1}) })
	case coordinator.Commit:
		c.commit(action)
	case coordinator.ReadLedger:
		command := port.Command{CommitBatch: &port.CommitBatch{Pool: c.name, CoordinatorEpoch: c.epoch}}
		c.node.propose(workSampling, command, appnode.DefaultCallTimeout, func(result port.Result, done bool) {
			if done && result.Ledger != nil {
				c.step(coordinator.LedgerRead{State: *result.Ledger})
				return
			}
			c.step(coordinator.LedgerRead{Err: port.NewError(port.NotRun, port.CodeUnavailable, "no answer")})
		})
	case coordinator.Deliver:
		f.trainers[c.pool].deliver(c, action)
	case coordinator.Refuse:
		f.trainers[c.pool].refused(c)
	}
}

func prompts(action coordinator.FetchPrompts) coordinator.PromptsArrived {
	arrived := coordinator.PromptsArrived{From: action.From}
	for offset := range action.Count {
		arrived.Prompts = append(arrived.Prompts, port.Prompt{
			Index: action.From + port.PromptIndex(offset), Text: "prompt", Tokens: promptBytes / 4,
		})
	}
	return arrived
}

// startSample sends a sample through the home of a replica of the pool. The
// home streams its end back; the tokens between are counted by the page.
func (c *coordination) startSample(action coordinator.StartSample) {
	f := c.node.fleet
	engines := f.byPool[c.pool]
	if len(engines) == 0 {
		return
	}
	c.turn++
	started := &run{action: action, engine: engines[c.turn%len(engines)]}
	c.runs = append(c.runs, started)
	id, found := c.node.homes.home(started.engine.replica.Zone, started.engine.replica.ID)
	if !found {
		c.fail(started, port.NotRun, port.CodeNoBackEnd, time.Second)
		return
	}
	started.home = f.nodeOf(id)
	started.incarnation = started.home.incarnation
	call := generateCall{Attempt: 1, Request: port.GenerateRequest{
		ID: port.RequestID(action.ID.String()), Pool: c.name, Prompt: f.promptText, PromptTokens: promptBytes / 4,
		MaxTokens: action.MaxTokens, Seed: action.Seed, MinVersion: action.MinVersion, Safe: true, Replica: started.engine.replica.ID,
	}}
	if !started.home.up || !f.network.reaches(c.node.place, started.home.place) {
		c.fail(started, port.MayHaveRun, port.CodeUnavailable, wire.DefaultIdleTimeout)
		return
	}
	f.send(&c.node.endpoint, &started.home.endpoint, message{workSampling, wire.KindCall, methodGenerate, call}, func(body []byte) {
		var received generateCall
		f.decode(body, &received)
		c.generate(started)
	})
}

// generate is the sample's time at the replica.
func (c *coordination) generate(started *run) {
	f := c.node.fleet
	started.engine.running++
	version := started.engine.report.Version
	length := time.Duration(float64(f.options.SampleTime) * min(0.5+f.random.ExpFloat64()*0.72, longestSample))
	f.after(length, func() {
		started.engine.running--
		home := started.home
		if started.ended || !home.up || home.incarnation != started.incarnation {
			return
		}
		chunk := port.GenerateChunk{Text: "text", Tokens: sampleTokens, Version: version, Finish: port.FinishStop}
		f.send(&home.endpoint, &c.node.endpoint, message{workSampling, wire.KindData, "", chunk}, func(body []byte) {
			var received port.GenerateChunk
			f.decode(body, &received)
			c.finish(started, received)
		})
	})
	c.progress(started, version)
}

// progress tells of a running sample from time to time.
func (c *coordination) progress(started *run, version port.WeightVersion) {
	c.node.fleet.later(c, progressInterval, func() {
		if started.ended {
			return
		}
		c.step(coordinator.SampleProgress{
			ID: started.action.ID, Attempt: started.action.Attempt, Replica: started.engine.replica.ID,
			Tokens: 1, Spans: []port.Span{{Version: version, Tokens: 1}},
		})
		c.progress(started, version)
	})
}

func (c *coordination) finish(started *run, chunk port.GenerateChunk) {
	if started.ended {
		return
	}
	started.ended = true
	c.dropEnded()
	c.step(coordinator.SampleFinished{
		ID: started.action.ID, Attempt: started.action.Attempt, Replica: started.engine.replica.ID, Text: chunk.Text,
		Tokens: chunk.Tokens, Spans: []port.Span{{Version: chunk.Version, Tokens: chunk.Tokens}},
	})
}

// fail ends an attempt with an error, some time from now.
func (c *coordination) fail(failed *run, verdict port.Verdict, code port.Code, delay time.Duration) {
	c.node.fleet.later(c, delay, func() {
		if failed.ended {
			return
		}
		failed.ended = true
		c.step(coordinator.SampleFailed{
			ID: failed.action.ID, Attempt: failed.action.Attempt, Replica: failed.engine.replica.ID,
			Err: port.NewError(verdict, code, "the home of %s does not answer", failed.engine.replica.ID),
		})
	})
}

func (c *coordination) cancel(action coordinator.CancelSample) {
	for _, open := range c.runs {
		if !open.ended && open.action.ID == action.ID && open.action.Attempt == action.Attempt {
			if !action.Move {
				open.ended = true
				return
			}
			c.fail(open, port.MayHaveRun, port.CodeCancelled, inZone)
			return
		}
	}
}

// homeLost fails the runs through a node that is gone, once their connections
// have been silent for too long.
func (c *coordination) homeLost(gone *node) {
	for _, open := range c.runs {
		if !open.ended && open.home == gone {
			c.fail(open, port.MayHaveRun, port.CodeUnavailable, wire.DefaultIdleTimeout)
		}
	}
}

func (c *coordination) abandonRuns() {
	for _, open := range c.runs {
		open.ended = true
	}
	c.runs = nil
}

// dropEnded forgets ended runs once half of the list are.
func (c *coordination) dropEnded() {
	if c.finished++; 2*c.finished < len(c.runs) {
		return
	}
	open := make([]*run, 0, len(c.runs)-c.finished+1)
	for _, kept := range c.runs {
		if !kept.ended {
			open = append(open, kept)
		}
	}
	c.runs, c.finished = open, 0
}

func (c *coordination) commit(action coordinator.Commit) {
	batch := action.Batch
	command := port.Command{ChangeID: action.ChangeID, CommitBatch: &batch}
	asked := c.node.fleet.now
	c.node.propose(workSampling, command, proposeTimeout, func(result port.Result, done bool) {
		answered := coordinator.CommitAnswered{ChangeID: action.ChangeID, Number: batch.Number, Attempt: batch.Attempt, Result: result}
		if !done {
			answered.Err = port.NewError(port.MayHaveRun, port.CodeUnavailable, "no answer")
		}
		if done && result.Error == nil {
			c.node.fleet.batches.commits = append(c.node.fleet.batches.commits, c.node.fleet.now-asked)
		}
		c.step(answered)
	})
}
