package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/fleet"
)

// fleetCommand emulates a whole fleet in one process, in virtual time.
type fleetCommand struct {
	Nodes        int           `default:"660" help:"Number of nodes."`
	Replicas     int           `default:"3500" help:"Number of replicas."`
	Members      int           `default:"6" help:"Number of control members: up to five voters, then learners."`
	Length       time.Duration `default:"2m" help:"Virtual time that is counted, after 15 s of warm-up."`
	Seed         uint64        `default:"1" help:"Seed; equal seeds give equal counts."`
	Scenario     string        `default:"steady" enum:"steady,failures,zone-loss,region-cut,weights" help:"What happens: ${enum}."`
	Compression  float64       `default:"24" help:"Factor on the daily rates of changes, failures and restarts."`
	Samples      int           `default:"8192" help:"Samples in a step of each trainer; 0 leaves the coordinators' samples out."`
	SampleTime   time.Duration `default:"1m" help:"Median time in which a sample is generated."`
	LoadInterval time.Duration `default:"200ms" help:"Time between two polls of an engine by its home."`
	WeightBytes  float64       `default:"17179869184" help:"Size of a weight version, in bytes."`
	StoreRate    float64       `default:"1099511627776" help:"What the weight store gives in a second, in bytes."`
	Sizes        []int         `help:"Numbers of nodes to run one after the other, with replicas and samples in proportion, and fit."`
	Output       string        `default:"table" enum:"table,json,markdown" help:"Form of the results: ${enum}."`
}

// fleetOutput is the JSON form, of which markdown gives the tables of
// docs/CAPACITY.md.
type fleetOutput struct {
	Results []*fleet.Result `json:"results"`
	Slopes  []fleet.Slope   `json:"slopes,omitempty"`
}

// Run implements the command.
func (c *fleetCommand) Run() error {
	options := fleet.Options{
		Nodes: c.Nodes, Replicas: c.Replicas, Members: c.Members, Length: c.Length, Seed: c.Seed,
		Scenario: fleet.Scenario(c.Scenario), Compression: c.Compression, Samples: c.Samples,
		SampleTime: c.SampleTime, LoadInterval: c.LoadInterval, WeightBytes: c.WeightBytes, StoreRate: c.StoreRate,
	}
	runs := []fleet.Options{options}
	if len(c.Sizes) > 0 {
		runs = runs[:0]
		for _, size := range c.Sizes {
			runs = append(runs, options.Scaled(size))
		}
	}
	var output fleetOutput
	broken := false
	for _, run := range runs {
		result, err := fleet.Run(run)
		if err != nil {
			return eris.Wrap(err, "run fleet")
		}
		broken = broken || len(result.Violations) > 0
		output.Results = append(output.Results, result)
		if err := c.show(result); err != nil {
			return err
		}
	}
	if len(runs) > 1 {
		output.Slopes = fleet.Slopes(output.Results)
	}
	if err := c.write(output); err != nil {
		return err
	}
	if broken {
		return errViolations
	}
	return nil
}

// show prints one run's table as soon as it is there.
func (c *fleetCommand) show(result *fleet.Result) error {
	if c.Output != "table" {
		fmt.Fprintf(os.Stderr, "%d nodes done in %v\n", result.Options.Nodes, result.Process.Wall.Round(time.Second))
		return nil
	}
	return eris.Wrap(fleet.WriteTable(os.Stdout, result), "write table")
}

func (c *fleetCommand) write(output fleetOutput) error {
	if c.Output == "markdown" {
		return eris.Wrap(fleet.WriteMarkdown(os.Stdout, output.Results, output.Slopes), "write tables")
	}
	if c.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(output), "write JSON")
	}
	if output.Slopes == nil {
		return nil
	}
	return eris.Wrap(fleet.WriteSlopes(os.Stdout, output.Results, output.Slopes), "write slopes")
}
