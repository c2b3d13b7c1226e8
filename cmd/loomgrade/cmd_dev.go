package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/ringlog"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
)

const (
	// progressInterval lies between two lines of progress.
	progressInterval = 2 * time.Second
	// endlessRun bounds a run without --duration.
	endlessRun   = 24 * time.Hour
	devRingLines = 4096
)

// devCommand runs a whole fleet in one process.
type devCommand struct {
	Duration time.Duration `help:"How long to run; without it until Ctrl-C."`
	Site     string        `enum:"dev,inkwell,marea" default:"dev" help:"Which site: dev, inkwell or marea."`
	Seed     uint64        `default:"1" help:"Seed of the load and the stand-ins."`
}

// Run starts the fleet, plays its callers and trainers, and judges the run.
func (c *devCommand) Run(std streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	plan := c.plan()
	ring := ringlog.New(devRingLines, std.stderr)
	fmt.Fprintf(std.stdout, "starting site %s: %d control members, %d nodes, %d engines, %d application servers, %d trainers\n",
		plan.Cluster, plan.ControlMembers, len(plan.Zones)*plan.NodesPerZone,
		plan.Engines.Replicas, plan.Application.Replicas, len(plan.Trainers))
	fleet, err := localfleet.Start(ctx, plan, localfleet.Options{Logger: ring.Logger()})
	if err != nil {
		return err
	}
	violations, err := c.play(ctx, std, fleet)
	if err = errors.Join(err, fleet.Close()); err != nil {
		return err
	}
	if len(violations) > 0 {
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

// play runs the load and gives what the audit found.
func (c *devCommand) play(ctx context.Context, std streams, fleet *localfleet.Fleet) ([]audit.Violation, error) {
	duration := c.Duration
	if duration == 0 {
		duration = endlessRun
		folder, err := printFirstSteps(std, fleet)
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
	}
	progress, endProgress := context.WithCancel(ctx)
	go showProgress(progress, std, fleet)
	result := load.Run(ctx, load.Config{
		Targets:  fleet.NodeURLs(),
		Classes:  fleet.Plan().Callers,
		Seed:     c.Seed,
		Duration: duration,
	})
	endProgress()
	violations := fleet.Audit(result.Observations())
	return violations, printRun(std, fleet, result, violations)
}

// printFirstSteps names the addresses and three commands to try. The operator
// token lies in a file of a folder that the caller removes.
func printFirstSteps(std streams, fleet *localfleet.Fleet) (folder string, err error) {
	folder, err = os.MkdirTemp("", "loomgrade-dev-")
	if err != nil {
		return "", eris.Wrap(err, "token folder")
	}
	token := filepath.Join(folder, "operator.token")
	if err := os.WriteFile(token, []byte(fleet.OperatorToken()), 0o600); err != nil {
		return "", eris.Wrap(err, "token file")
	}
	server := fleet.OperatorAddress(0)
	fmt.Fprintf(std.stdout, "nodes for callers: %v\noperators: %s\ntry:\n", fleet.NodeURLs(), server)
	fmt.Fprintf(std.stdout, "  loomgrade status --server %s --token-file %s\n", server, token)
	fmt.Fprintf(std.stdout, "  loomgrade weights status --server %s --token-file %s\n", server, token)
	fmt.Fprintf(std.stdout, "  loomgrade explain --node %s %s-1\n", fleet.NodeURL(0), fleet.Plan().Engines.Pool)
	return folder, nil
}

func showProgress(ctx context.Context, std streams, fleet *localfleet.Fleet) {
	began := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		line := fmt.Sprintf("%5.0fs", time.Since(began).Seconds())
		for _, trainer := range fleet.Summary() {
			line += fmt.Sprintf("  %s: step %d, %d samples, idle %.0f %%, version %d",
				trainer.Pool, trainer.Steps, trainer.Samples, 100*trainer.IdleShare, trainer.Version)
		}
		fmt.Fprintln(std.stdout, line)
	}
}

func printRun(std streams, fleet *localfleet.Fleet, result *load.Result, violations []audit.Violation) error {
	lines := newTable(std.stdout)
	lines.row("CALLERS", "ANSWERED", "REFUSED (NOT RUN)", "OTHER FAILURES", "P50", "P99")
	for _, class := range result.Classes() {
		answered, refused := class.Outcomes[audit.OutcomeAnswered], class.Outcomes[audit.OutcomeNotRun]
		lines.row(class.Class, answered, refused, total(class)-answered-refused,
			class.P50.Round(time.Millisecond/10), class.P99.Round(time.Millisecond/10))
	}
	lines.row("TRAINERS", "STEPS", "SAMPLES", "IDLE SHARE", "STALENESS P50/P99/MAX", "VERSION")
	for _, trainer := range fleet.Summary() {
		lines.row(trainer.Pool, trainer.Steps, trainer.Samples, fmt.Sprintf("%.3f", trainer.IdleShare),
			fmt.Sprintf("%d/%d/%d", trainer.StalenessP50, trainer.StalenessP99, trainer.StalenessMax), trainer.Version)
	}
	for _, trainer := range fleet.Summary() {
		if trainer.LastError != "" {
			lines.row("", trainer.Pool, "last told: "+trainer.LastError)
		}
	}
	lines.row("AUDIT", fmt.Sprintf("%d violations", len(violations)))
	for _, violation := range violations {
		lines.row("", violation)
	}
	return lines.flush()
}

func total(class load.ClassResult) int {
	sum := 0
	for _, count := range class.Outcomes {
		sum += count
	}
	return sum
}
