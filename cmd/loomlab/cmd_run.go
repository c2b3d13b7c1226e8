package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
	"github.com/loomgrade/loomgrade/internal/lab/report"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// reportFile is the name of the report inside an output folder.
const reportFile = "report.html"

// runCommand runs an experiment in virtual time.
type runCommand struct {
	Experiment string `arg:"" type:"existingfile" help:"Experiment file."`
	Output     string `type:"path" help:"Folder for results.json and report.html; results/NAME by default."`
	Seeds      int    `help:"Number of seeds in place of that of the file and its sweeps."`
	Parallel   int    `help:"Runs at a time; the number of cores by default."`
	Table      bool   `xor:"format" help:"Print tables; the default."`
	JSON       bool   `xor:"format" name:"json" help:"Print the results as JSON in place of tables."`
}

// Run implements the command.
func (c *runCommand) Run() error {
	settings, err := experiment.Load(c.Experiment)
	if err != nil {
		return usageError{err}
	}
	if err := c.overrideSeeds(settings); err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	parallel := c.Parallel
	if parallel == 0 {
		parallel = runtime.GOMAXPROCS(0)
	}
	progress := progressLine{output: os.Stderr, name: settings.Name, terminal: isTerminal(os.Stderr)}
	results, err := experiment.Run(ctx, experiment.Plan{
		Settings: settings, Simulate: sim.Run, Parallel: parallel, Progress: progress.show,
	})
	if err != nil {
		return err
	}
	output := c.Output
	if output == "" {
		output = filepath.Join("results", settings.Name)
	}
	if err := writeResults(output, results); err != nil {
		return err
	}
	if err := c.print(os.Stdout, results); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "written to %s and %s\n", filepath.Join(output, experiment.ResultsFile), filepath.Join(output, reportFile))
	if results.Violations() > 0 {
		return errViolations
	}
	return nil
}

func (c *runCommand) overrideSeeds(settings *experiment.Settings) error {
	if c.Seeds == 0 {
		return nil
	}
	if c.Seeds < 0 || c.Seeds > experiment.MaxSeeds {
		return usageError{eris.Errorf("--seeds = %d is not allowed, allowed: 1 to %d", c.Seeds, experiment.MaxSeeds)}
	}
	settings.Seeds = c.Seeds
	for index := range settings.Sweeps {
		settings.Sweeps[index].Seeds = 0
	}
	return nil
}

func (c *runCommand) print(output io.Writer, results *experiment.Results) error {
	if !c.JSON {
		return report.WriteText(output, results)
	}
	content, err := results.Encode()
	if err != nil {
		return err
	}
	_, err = output.Write(content)
	return eris.Wrap(err, "write results")
}

// writeResults writes the results and the report into a folder.
func writeResults(folder string, results *experiment.Results) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "create the output folder")
	}
	content, err := results.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, experiment.ResultsFile), content, 0o644); err != nil {
		return eris.Wrap(err, "write results")
	}
	file, err := os.Create(filepath.Join(folder, reportFile))
	if err != nil {
		return eris.Wrap(err, "write report")
	}
	defer file.Close()
	if err := report.WriteHTML(file, results); err != nil {
		return err
	}
	return eris.Wrap(file.Close(), "write report")
}

// maxProgressLines limits the progress lines when the output is not a terminal.
const maxProgressLines = 10

// progressLine reports the number of finished runs: as one line overwritten in place on a
// terminal, as separate lines elsewhere.
type progressLine struct {
	output   io.Writer
	name     string
	terminal bool

	mutex   sync.Mutex
	maxDone int
}

// show may be called concurrently and out of order.
func (p *progressLine) show(done, total int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.maxDone
	if done <= before {
		return
	}
	p.maxDone = done
	switch {
	case p.terminal && done < total:
		fmt.Fprintf(p.output, "\r%s: %d of %d runs done", p.name, done, total)
	case p.terminal:
		fmt.Fprintf(p.output, "\r%s: %d of %d runs done\n", p.name, done, total)
	case done*maxProgressLines/total > before*maxProgressLines/total:
		fmt.Fprintf(p.output, "%s: %d of %d runs done\n", p.name, done, total)
	}
}

// isTerminal reports whether a file is a character device.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
