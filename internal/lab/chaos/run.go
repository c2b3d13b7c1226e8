package chaos

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Report is the result of one run.
type Report struct {
	Scenario   string      `json:"scenario"`
	Seed       uint64      `json:"seed"`
	Steps      uint64      `json:"steps"`
	Faults     int         `json:"faults"`
	Accepted   int         `json:"accepted"`
	Entries    int         `json:"entries"`
	Batches    int         `json:"batches"`
	Repairs    int         `json:"repairs"`
	Coverage   Coverage    `json:"coverage"`
	Violations []Violation `json:"violations,omitempty"`
}

// Run runs one scenario with one seed. Equal options produce equal reports.
func Run(options Options) Report {
	world := newWorld(options)
	world.run()
	return Report{
		Scenario: options.Scenario.Name, Seed: options.Seed, Steps: world.steps,
		Faults: world.faults.count, Accepted: len(world.audit.accepted), Entries: len(world.audit.entries),
		Batches: len(world.audit.reference.batches), Repairs: world.admin.repaired, Coverage: world.coverage, Violations: world.audit.violations,
	}
}

// RunMany runs a scenario with seeds first to first+count-1, up to parallel at a time,
// and returns the reports in order of seed.
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
			reports[number] = Run(one)
			return nil
		})
	}
	return reports, group.Wait()
}
