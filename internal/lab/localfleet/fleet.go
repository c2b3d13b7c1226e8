package localfleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// operatorToken is what the fleet's operators present.
const operatorToken = "operator-of-a-local-fleet"

// firstVersion is the weight version that the engines start from.
const firstVersion port.WeightVersion = 1

// settleTime bounds each step of starting a fleet.
const settleTime = 30 * time.Second

// Options say how a fleet is run.
type Options struct {
	// Folder keeps the data folders of the control members; empty takes a
	// temporary one that Close removes.
	Folder string
	// Logger may be nil.
	Logger *log.Logger
	// Intervals pace the nodes; zero fields take the nodes' defaults.
	Intervals node.Intervals
}

// Fleet is a running fleet. Its methods are for one goroutine.
type Fleet struct {
	plan    Plan
	options Options
	folder  string
	cancel  context.CancelFunc

	members  []*memberSlot
	nodes    []*nodeSlot
	standIns *standIns
	operator *controlclient.Client
	// stops and outages are the disturbances that the driver caused, for the
	// audit.
	stops []audit.PlannedStop
}

// Start starts a fleet and waits until its configuration is accepted and every
// node serves callers.
func Start(ctx context.Context, plan Plan, options Options) (*Fleet, error) {
	fleet := &Fleet{plan: plan, options: options}
	background, cancel := context.WithCancel(context.Background())
	fleet.cancel = cancel
	if err := fleet.start(ctx, background); err != nil {
		return nil, errors.Join(err, fleet.Close())
	}
	return fleet, nil
}

func (f *Fleet) start(ctx, background context.Context) error {
	settle, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if err := f.makeFolder(); err != nil {
		return err
	}
	if err := f.startMembers(settle); err != nil {
		return err
	}
	if err := f.listenNodes(); err != nil {
		return err
	}
	standIns, err := startStandIns(background, &f.plan, f.NodeURLs())
	if err != nil {
		return err
	}
	f.standIns = standIns
	if err := f.configure(settle); err != nil {
		return err
	}
	for _, slot := range f.nodes {
		if err := f.startNode(slot); err != nil {
			return err
		}
	}
	return f.untilReady(settle)
}

func (f *Fleet) makeFolder() error {
	f.folder = f.options.Folder
	if f.folder != "" {
		return eris.Wrap(os.MkdirAll(f.folder, 0o700), "data folder")
	}
	folder, err := os.MkdirTemp("", "loomgrade-fleet-")
	f.folder = folder
	return eris.Wrap(err, "data folder")
}

// wireOptions are those of the fleet's own processes.
func (f *Fleet) wireOptions(name string) wire.Options {
	return wire.Options{ClusterID: f.plan.Cluster, Name: name}
}

// controlClient makes a client of the control members, beginning with the one
// at a position, so that nodes of different zones use different members.
func (f *Fleet) controlClient(name string, nearest int) (*controlclient.Client, error) {
	addresses := make([]string, 0, len(f.members))
	for offset := range f.members {
		addresses = append(addresses, f.members[(nearest+offset)%len(f.members)].peerAddress)
	}
	return controlclient.New(controlclient.Config{
		Addresses: addresses,
		Wire:      f.wireOptions(name),
		Node:      port.NodeID(name),
	})
}

// configure proposes the site's configuration and publishes the first weights.
func (f *Fleet) configure(ctx context.Context) error {
	operator, err := f.controlClient("operator", 0)
	if err != nil {
		return err
	}
	f.operator = operator
	configuration := f.plan.configuration(f.standIns)
	edits := make([]port.Edit, 0, len(configuration.Pools)+len(configuration.Replicas)+1)
	for index := range configuration.Pools {
		edits = append(edits, port.Edit{PutPool: &configuration.Pools[index]})
	}
	for index := range configuration.Replicas {
		edits = append(edits, port.Edit{PutReplica: &configuration.Replicas[index]})
	}
	edits = append(edits, port.Edit{MachineList: &configuration.MachineList})
	change := &port.ChangeConfiguration{Edits: edits, Author: "dev", Note: "first configuration"}
	if err := f.Propose(ctx, port.Command{ChangeConfiguration: change}); err != nil {
		return err
	}
	for _, trainer := range f.plan.Trainers {
		publication := &port.PublishWeights{Pool: trainer.Pool, Version: firstVersion, Bytes: weightBytes}
		if err := f.Propose(ctx, port.Command{PublishWeights: publication}); err != nil {
			return err
		}
	}
	return nil
}

// Propose puts a command through the control log as an operator would.
func (f *Fleet) Propose(ctx context.Context, command port.Command) error {
	result, err := f.operator.Propose(ctx, command)
	if err != nil {
		return err
	}
	if result.Error != nil {
		return result.Error
	}
	return nil
}

// Audit judges what the stand-ins and the given callers saw.
func (f *Fleet) Audit(callers ...audit.Observations) []audit.Violation {
	seen := f.standIns.observations()
	for _, observations := range callers {
		seen.Merge(observations)
	}
	seen.Merge(audit.Observations{PlannedStops: f.stops})
	bounds := audit.Limits{Staleness: make(map[string]uint64)}
	for _, trainer := range f.plan.Trainers {
		bounds.Staleness[string(trainer.Pool)] = trainer.Sampling.StalenessBound
	}
	return audit.Check(seen, bounds)
}

// Plan gives the site that the fleet was started for.
func (f *Fleet) Plan() Plan { return f.plan }

// OperatorToken gives the token that the control members ask operators for.
func (f *Fleet) OperatorToken() string { return operatorToken }

// Close stops everything at once and removes a temporary folder.
func (f *Fleet) Close() error {
	if f.standIns != nil {
		f.standIns.closeTrainers()
	}
	for _, slot := range f.nodes {
		slot.close()
	}
	if f.operator != nil {
		f.operator.Close()
	}
	var failures []error
	for _, slot := range f.members {
		failures = append(failures, slot.kill())
	}
	if f.standIns != nil {
		f.standIns.close()
	}
	f.cancel()
	if f.options.Folder == "" && f.folder != "" {
		failures = append(failures, os.RemoveAll(f.folder))
	}
	return errors.Join(failures...)
}

// until polls a condition until it holds or ctx ends.
func until(ctx context.Context, what string, holds func() bool) error {
	const pollInterval = 10 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", what, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (f *Fleet) dataFolder(name string) string { return filepath.Join(f.folder, name) }
