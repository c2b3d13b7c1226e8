package fault

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Report is the result of one run.
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
	// Violations are the guarantees that the audit found broken, Failures other
	// problems, such as a lack of progress.
	Violations []audit.Violation `json:"violations,omitempty"`
	Failures   []string          `json:"failures,omitempty"`
}

// ProblemCount returns the number of violations and failures.
func (r *Report) ProblemCount() int { return len(r.Violations) + len(r.Failures) }

// FaultCount returns the number of injected faults.
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
	observed := w.observations()
	w.checkProgress(observed)
	report := Report{
		Scenario: options.Scenario.Name, Seed: options.Seed, Steps: w.queue.Steps(), Faults: w.count.faults,
		Delivered: w.count.delivered, Retries: w.count.retries, Failures: w.failures,
		Violations: audit.Check(observed, audit.Limits{
			Staleness:        map[string]uint64{string(trainingPool): stalenessBound},
			PromptWindow:     promptWindow,
			FirstUndelivered: map[string]port.PromptIndex{string(trainingPool): w.promptsDone()},
		}),
	}
	for _, call := range observed.Calls {
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

// observations collects what the simulated systems observed.
func (w *world) observations() audit.Observations {
	observed := w.observed.rest
	for _, generation := range w.observed.generations {
		observed.Generations = append(observed.Generations, *generation)
	}
	for _, execution := range w.observed.executions {
		observed.Executions = append(observed.Executions, *execution)
	}
	return observed
}

// promptsDone returns the lowest prompt that may be undelivered. The trainer must have
// received all prompts below it.
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

// Progress required at the end of the run.
const (
	callWindow       = 8 * time.Second
	batchWindow      = 15 * time.Second
	minAnsweredShare = 0.95
)

// checkProgress reports work that didn't recover from the faults.
func (w *world) checkProgress(observed audit.Observations) {
	end := w.queue.Now()
	if w.trainer.lastBatchAt < end-batchWindow {
		w.fail("the trainer received no batch since %v; %s", w.trainer.lastBatchAt, w.trainer.progress())
	}
	calls, answered := 0, 0
	for _, call := range observed.Calls {
		if call.StartedAt >= end-completionTimeout-callWindow {
			calls++
			if call.Outcome == audit.OutcomeAnswered {
				answered++
			}
		}
	}
	if float64(answered) < minAnsweredShare*float64(calls) {
		w.fail("%d calls after the faults, only %d answered", calls, answered)
	}
}

// RunMany runs a scenario with seeds first to first+count-1, up to parallel at a
// time, and returns the reports by seed.
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
