package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/ringlog"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
	"github.com/loomgrade/loomgrade/internal/lab/localsite"
)

const (
	// progressInterval is the time between two progress lines.
	progressInterval = 2 * time.Second
	// maxDuration limits a run without --duration.
	maxDuration  = 24 * time.Hour
	devRingLines = 4096
)

// devCommand runs a complete fleet in one process.
type devCommand struct {
	Duration time.Duration `help:"How long to run; without it until Ctrl-C."`
	Site     string        `enum:"dev,inkwell,marea" default:"dev" help:"Which site: dev, inkwell or marea."`
	Seed     uint64        `default:"1" help:"Seed of the load and the stand-ins."`

	outputFlags `embed:""`
}

// Run starts the fleet, runs its load and jobs, and audits the result.
func (c *devCommand) Run(std streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	plan := c.plan()
	ring := ringlog.New(devRingLines, std.stderr)
	fmt.Fprintf(c.progress(std), "starting site %s: %d control members, %d nodes, %d engines, %d application servers, %d trainers; beside it a site that takes jobs\n",
		plan.Cluster, plan.ControlMembers, len(plan.Zones)*plan.NodesPerZone,
		plan.Engines.Replicas, plan.Application.Replicas, len(plan.Trainers))
	fleet, err := localfleet.Start(ctx, plan, localfleet.Options{Logger: ring.Logger()})
	if err != nil {
		return err
	}
	site, err := localsite.Start(ctx, c.Seed, ring.Logger())
	if err != nil {
		return errors.Join(err, fleet.Close())
	}
	passed, err := c.runLoad(ctx, std, fleet, site)
	if err = errors.Join(err, fleet.Close(), site.Close()); err != nil {
		return err
	}
	if !passed {
		return errAudit
	}
	return nil
}

func (c *devCommand) plan() localfleet.Plan {
	plans := map[string]func() localfleet.Plan{
		"dev":     localfleet.DevPlan,
		"inkwell": localfleet.InkwellPlan,
		"marea":   localfleet.MareaPlan,
	}
	plan := plans[c.Site]()
	plan.Seed = c.Seed
	return plan
}

// progress returns the writer for progress lines: stderr when stdout carries JSON.
func (c *devCommand) progress(std streams) io.Writer {
	if c.Output == outputJSON {
		return std.stderr
	}
	return std.stdout
}

// runLoad runs the load and the jobs, and reports whether the audits found no violation.
func (c *devCommand) runLoad(ctx context.Context, std streams, fleet *localfleet.Fleet, site *localsite.Site) (bool, error) {
	duration := c.Duration
	if duration == 0 {
		duration = maxDuration
		steps, err := newFirstSteps(ctx, fleet)
		if err != nil {
			return false, err
		}
		defer steps.remove()
		steps.print(c.progress(std))
	}
	progress, endProgress := context.WithCancel(ctx)
	go showProgress(progress, c.progress(std), fleet)
	jobs := make(chan jobsReport, 1)
	go func() {
		summary, violations := site.Train(progress)
		jobs <- jobsReport{Summary: summary, Violations: violations}
	}()
	result := load.Run(ctx, load.Config{
		Targets:  fleet.NodeURLs(),
		Classes:  fleet.Plan().Callers,
		Seed:     c.Seed,
		Duration: duration,
	})
	endProgress()
	violations := fleet.Audit(result.Observations())
	report := devReport{Callers: result.Classes(), Trainers: fleet.Summary(), Jobs: <-jobs, Violations: violations}
	passed := len(report.Violations) == 0 && len(report.Jobs.Violations) == 0
	return passed, output(c.outputFlags, std, report, showDevReport)
}

func showProgress(ctx context.Context, out io.Writer, fleet *localfleet.Fleet) {
	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		line := fmt.Sprintf("%5.0fs", time.Since(started).Seconds())
		for _, trainer := range fleet.Summary() {
			line += fmt.Sprintf("  %s: step %d, %d samples, idle %.0f %%, version %d",
				trainer.Pool, trainer.Steps, trainer.Samples, 100*trainer.IdleShare, trainer.Version)
		}
		fmt.Fprintln(out, line)
	}
}
