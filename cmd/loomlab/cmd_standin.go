package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

// standInCommand groups the stand-in commands.
type standInCommand struct {
	Engine   standInEngine   `cmd:"" help:"Model engine."`
	App      standInApp      `cmd:"" help:"Replica of an application service."`
	Weights  standInWeights  `cmd:"" help:"Weight store with a limited rate."`
	Trainer  standInTrainer  `cmd:"" help:"Trainer and its source of prompts."`
	Scorer   standInScorer   `cmd:"" help:"Scoring service."`
	Machines standInMachines `cmd:"" help:"Machine list that shows changes late."`
}

// standInCommon holds the flags of every stand-in.
type standInCommon struct {
	Listen       string `default:"127.0.0.1:0" help:"Loopback address to listen on."`
	Observations string `type:"path" help:"File that receives each observation as a line of JSON; a trainer goes on from what it holds."`
}

// server is a started stand-in.
type server interface {
	Addr() string
	Close()
	Shutdown(context.Context) error
}

// shutdownTimeout limits how long a graceful stop waits for requests in flight.
const shutdownTimeout = 30 * time.Second

// serve starts a stand-in and runs it until SIGINT or SIGTERM, then waits for requests in
// flight.
func (c standInCommon) serve(start func(context.Context, standin.Common) (server, error)) error {
	common := standin.Common{Listen: c.Listen}
	if c.Observations != "" {
		file, err := openJournal(c.Observations)
		if err != nil {
			return err
		}
		defer file.Close()
		common.Journal = file
	}
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	standIn, err := start(context.Background(), common)
	if err != nil {
		return err
	}
	fmt.Printf("listening on %s\n", standIn.Addr())
	<-stop.Done()
	drain, cancelDrain := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelDrain()
	return standIn.Shutdown(drain)
}

// openJournal opens a file for appending. It truncates a partial last line, which a killed
// process may leave.
func openJournal(path string) (*os.File, error) {
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, eris.Wrap(err, "read the observations file")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open the observations file")
	}
	complete := int64(bytes.LastIndexByte(content, '\n') + 1)
	if err := file.Truncate(complete); err != nil {
		return nil, eris.Wrap(err, "truncate the observations file")
	}
	return file, nil
}

type standInEngine struct {
	standInCommon
	TimeScale       float64       `default:"1" help:"How many times faster than real time the engine runs."`
	Version         uint64        `default:"1" help:"Weight version served after a start."`
	Adapters        []string      `help:"Adapters loaded after a start, at the same version."`
	MedianTokens    float64       `default:"120" help:"Median output length in tokens."`
	Sigma           float64       `default:"0.8" help:"Standard deviation of the logarithm of output lengths."`
	MaxTokens       int           `default:"2000" help:"Longest output in tokens."`
	Batch           int           `default:"32" help:"Largest batch."`
	Blocks          int           `default:"8192" help:"KV memory in blocks."`
	StepBase        time.Duration `default:"12ms" help:"Fixed time of one step."`
	StepPerSequence time.Duration `default:"150us" help:"Time of a step for each sequence in it."`
	SwapPause       time.Duration `default:"400ms" help:"Pause of an activation."`
	LoadLag         time.Duration `default:"200ms" help:"How late load reports are."`
	CacheLag        time.Duration `default:"500ms" help:"How late cache events are."`
	CacheGapEvery   uint64        `default:"0" help:"Lose every n-th cache event; 0 loses none."`
}

// Run implements the command.
func (c *standInEngine) Run() error {
	return c.serve(func(ctx context.Context, common standin.Common) (server, error) {
		return standin.StartEngine(ctx, standin.EngineConfig{
			Common: common, TimeScale: c.TimeScale, Adapters: c.Adapters,
			Lengths: engine.Lengths{Median: c.MedianTokens, Sigma: c.Sigma, Max: c.MaxTokens},
			LoadLag: c.LoadLag, CacheLag: c.CacheLag, CacheGapEvery: c.CacheGapEvery,
			Model: engine.Config{
				MaxSequences: c.Batch, KVBlocks: c.Blocks, StepBase: c.StepBase,
				StepPerSequence: c.StepPerSequence, SwapPause: c.SwapPause, CacheGenerated: true,
				Weights: engine.Weights{Version: port.WeightVersion(c.Version)},
			},
		})
	})
}

type standInApp struct {
	standInCommon
	ServiceTime time.Duration `default:"5ms" help:"Mean time of a call."`
	Workers     int           `default:"64" help:"Calls that run at once."`
	Payload     int           `default:"256" help:"Size of an answer's content in bytes."`
}

// Run implements the command.
func (c *standInApp) Run() error {
	return c.serve(func(ctx context.Context, common standin.Common) (server, error) {
		return standin.StartApplication(ctx, standin.ApplicationConfig{
			Common: common, ServiceTime: c.ServiceTime, Workers: c.Workers, PayloadBytes: c.Payload,
		})
	})
}

type standInWeights struct {
	standInCommon
	Rate  int64 `default:"67108864" help:"Bytes a second that all downloads share."`
	Bytes int64 `default:"4194304" help:"Size of a version."`
}

// Run implements the command.
func (c *standInWeights) Run() error {
	return c.serve(func(ctx context.Context, common standin.Common) (server, error) {
		return standin.StartWeightStore(ctx, standin.WeightStoreConfig{Common: common, BytesPerSecond: c.Rate, Bytes: c.Bytes})
	})
}

type standInTrainer struct {
	standInCommon
	Nodes        []string      `help:"Base URLs of loomgrade's nodes; without any only prompts are served."`
	Pool         string        `help:"Pool to train on."`
	Name         string        `default:"trainer" help:"Name of the consumer."`
	TokenFile    string        `type:"existingfile" help:"File that holds the bearer token."`
	StepTime     time.Duration `default:"1s" help:"Time of a training step."`
	PublishEvery int           `default:"1" help:"Steps between publications."`
	FirstVersion uint64        `default:"1" help:"Version that training starts from."`
	MaxSteps     int           `default:"0" help:"Stop after so many steps; 0 means never."`
	Seed         uint64        `default:"1" help:"Seed of the prompts."`
}

// Run implements the command.
func (c *standInTrainer) Run() error {
	token, err := c.token()
	if err != nil {
		return err
	}
	deliveries, err := c.previousDeliveries()
	if err != nil {
		return err
	}
	return c.serve(func(ctx context.Context, common standin.Common) (server, error) {
		return standin.StartTrainer(ctx, standin.TrainerConfig{
			Checkpoint: deliveries,
			Common:     common, Nodes: c.Nodes, Pool: c.Pool, Name: c.Name, Token: token,
			StepTime: c.StepTime, PublishEvery: c.PublishEvery, FirstVersion: c.FirstVersion,
			MaxSteps: c.MaxSteps, Prompts: standin.PromptConfig{Seed: c.Seed},
		})
	})
}

// previousDeliveries reads the deliveries that earlier processes recorded.
func (c *standInTrainer) previousDeliveries() ([]audit.Delivery, error) {
	file, err := os.Open(c.Observations)
	if c.Observations == "" || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "open the observations file")
	}
	defer file.Close()
	observations, err := audit.ReadJournal(file)
	return observations.Deliveries, err
}

func (c *standInTrainer) token() (string, error) {
	if c.TokenFile == "" {
		return "", nil
	}
	content, err := os.ReadFile(c.TokenFile)
	return strings.TrimSpace(string(content)), eris.Wrap(err, "read the token file")
}

type standInScorer struct {
	standInCommon
	ServiceTime time.Duration `default:"10ms" help:"Time of one score."`
}

// Run implements the command.
func (c *standInScorer) Run() error {
	return c.serve(func(ctx context.Context, common standin.Common) (server, error) {
		return standin.StartScorer(ctx, standin.ScorerConfig{Common: common, ServiceTime: c.ServiceTime})
	})
}

type standInMachines struct {
	standInCommon
	Live []string      `help:"Addresses that are listed from the start."`
	Lag  time.Duration `default:"1s" help:"How late changes show."`
}

// Run implements the command.
func (c *standInMachines) Run() error {
	return c.serve(func(ctx context.Context, common standin.Common) (server, error) {
		return standin.StartMachineList(ctx, standin.MachineListConfig{Common: common, Live: c.Live, Lag: c.Lag})
	})
}
