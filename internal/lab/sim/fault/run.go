package fault

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Report is what one run gave.
type Report struct {
	Scenario  string        `json:"scenario"`
	Seed      uint64        `json:"seed"`
	Steps     uint64        `json:"steps"`
	Faults    map[Fault]int `json:"faults"`
	Answered  int           `json:"answered"`
	Refused   int           `json:"refused"`
	Failed    int           `json:"failed"`
	Delivered int           `json:"delivered"`
	Retries   int           `json:"retries"`
	// Violations are the promises that the audit found broken, Failures what
	// kept the run from going on as it should.
	Violations []audit.Violation `json:"violations,omitempty"`
	Failures   []string          `json:"failures,omitempty"`
}

// Broken counts everything that was found wrong.
func (r *Report) ProblemCount() int { return len(r.Violations) + len(r.Failures) }

// FaultCount counts the faults injected.
func (r *Report) FaultCount() int {
	total := 0
	for _, count := range r.Faults {
		total += count
	}
	return total
}

// promptWindow is how far a prompt may lag behind the highest delivered one.
const promptWindow = 250

// Run runs one scenario with one seed. Equal options give equal reports.
func Run(options Options) (Report, error) {
	w := newWorld(options)
	if err := w.run(); err != nil {
		return Report{}, fmt.Errorf("scenario %s, seed %d: %w", options.Scenario.Name, options.Seed, err)
	}
	seen := w.observations()
	w.checkProgress(seen)
	report := Report{
		Scenario: options.Scenario.Name, Seed: options.Seed, Steps: w.queue.Steps(), Faults: w.count.faults,
		Delivered: w.count.delivered, Retries: w.count.retries, Failures: w.failures,
		Violations: audit.Check(seen, audit.Limits{
			Staleness:        map[string]uint64{string(trainingPool): stalenessBound},
			PromptWindow:     promptWindow,
			FirstUndelivered: map[string]port.PromptIndex{string(trainingPool): w.promptsDone()},
		}),
	}
	for _, call := range seen.Calls {
		switch call.Outcome {
		case audit.OutcomeAnswered:
			report.Answered++
		case audit.OutcomeNotRun:
			report.Refused++
		default:
			report.Failed++
		}
	}
	return report, nil
}

// observations gathers what the stand-ins saw.
func (w *world) observations() audit.Observations {
	seen := w.seen.rest
	for _, generation := range w.seen.generations {
		seen.Generations = append(seen.Generations, *generation)
	}
	for _, execution := range w.seen.executions {
		seen.Executions = append(seen.Executions, *execution)
	}
	return seen
}

// promptsDone gives the lowest prompt that control doesn't hold for delivered: all
// below must have reached the trainer. The last batch may still be on its way.
func (w *world) promptsDone() port.PromptIndex {
	ledger := w.control.state.Ledger(trainingPool)
	done := ledger.PromptsBelow
	if w.trainer.next > ledger.Committed {
		return done
	}
	for _, sample := range ledger.Last {
		done = min(done, sample.Prompt)
	}
	return done
}

// Work has to go on in the last part of the calm time.
const (
	lastCalls   = 8 * time.Second
	lastBatches = 15 * time.Second
	leastShare  = 0.95
)

// checkProgress finds work that the faults stopped for good.
func (w *world) checkProgress(seen audit.Observations) {
	end := w.queue.Now()
	if w.trainer.lastKept < end-lastBatches {
		w.fail("the trainer got no batch since %v; %s", w.trainer.lastKept, w.trainer.progress())
	}
	calls, answered := 0, 0
	for _, call := range seen.Calls {
		if call.StartedAt >= end-completionTimeout-lastCalls {
			calls++
			if call.Outcome == audit.OutcomeAnswered {
				answered++
			}
		}
	}
	if float64(answered) < leastShare*float64(calls) {
		w.fail("of %d calls after the faults only %d were answered", calls, answered)
	}
}

// RunMany runs a scenario with seeds first to first+count-1, some in parallel,
// and gives the reports by seed.
func RunMany(ctx context.Context, options Options, first uint64, count, parallel int) ([]Report, error) {
	reports := make([]Report, count)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for number := range count {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			one := options
			one.Seed, one.Trace = first+uint64(number), nil
			report, err := Run(one)
			reports[number] = report
			return err
		})
	}
	return reports, group.Wait()
}
