package fleet

import (
	"time"

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
	retryDelay    = time.Second
)

// coordinate carries out an action of the coordinator.
func (w *worker) coordinate(action coordinator.Action) {
	f := w.node.fleet
	switch action := action.(type) {
	case coordinator.FetchPrompts:
		f.later(w, fetchTime, func() { w.tell(prompts(action)) })
	case coordinator.StartSample:
		w.startSample(action)
	case coordinator.CancelSample:
		w.cancel(action)
	case coordinator.ScoreSample:
		f.later(w, scoreTime, func() { w.tell(coordinator.Scored{ID: action.ID, Reward: 1}) })
	case coordinator.Deliver:
		f.trainers[w.pool].deliver(w, action)
	case coordinator.Refuse:
		f.trainers[w.pool].refused()
	}
}

// tell hands an event to the coordinator.
func (w *worker) tell(event coordinator.Event) {
	if !w.done {
		w.carryOut(w.core.Coordinator(w.node.fleet.wall(), event))
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

func (w *worker) startSample(action coordinator.StartSample) {
	started := &sample{fleet: w.node.fleet, worker: w, action: action}
	w.samples = append(w.samples, started)
	started.accept(w.node, false)
}

func (w *worker) cancel(action coordinator.CancelSample) {
	for _, open := range w.samples {
		if open.ended || open.action.ID != action.ID || open.action.Attempt != action.Attempt {
			continue
		}
		if !action.Move {
			open.end()
			return
		}
		open.fail(port.NewError(port.MayHaveRun, port.CodeCancelled, "moved"), inZone)
		return
	}
}

// nodeLost fails the samples whose way led through a node that is gone, once
// their connections have been silent for too long.
func (w *worker) nodeLost(gone *node) {
	for _, open := range w.samples {
		open.nodeLost(gone)
	}
}

// dropEnded forgets ended samples once half of the list are.
func (w *worker) dropEnded() {
	if w.finished++; 2*w.finished < len(w.samples) {
		return
	}
	open := make([]*sample, 0, len(w.samples)/2+1)
	for _, kept := range w.samples {
		if !kept.ended {
			open = append(open, kept)
		}
	}
	w.samples, w.finished = open, 0
}
