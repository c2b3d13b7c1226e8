package localfleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// operatorToken authenticates operators to the control members.
const operatorToken = "operator-of-a-local-fleet"

// firstVersion is the weight version that the engines start with.
const firstVersion port.WeightVersion = 1

// startTimeout limits how long a fleet may take to start.
const startTimeout = 30 * time.Second

// Options configures how a fleet is run.
type Options struct {
	// Folder holds the data folders of the control members. If empty, Start creates a
	// temporary folder that Close removes.
	Folder string
	// Logger may be nil.
	Logger *log.Logger
	// Intervals sets the intervals of the nodes; zero fields use the nodes' defaults.
	Intervals node.Intervals
}

// Fleet is a running fleet. It is not safe for concurrent use.
type Fleet struct {
	plan    Plan
	options Options
	folder  string
	cancel  context.CancelFunc

	members  []*memberSlot
	nodes    []*nodeSlot
	standIns *standIns
	operator *controlclient.Client
	// stops lists the graceful stops of nodes, for the audit.
	stops []audit.GracefulStop
}

// Start starts a fleet and blocks until its configuration is accepted and every node is
// ready.
func Start(ctx context.Context, plan Plan, options Options) (*Fleet, error) {
	fleet := &Fleet{plan: plan, options: options}
	fleet.setCluster()
	background, cancel := context.WithCancel(context.Background())
	fleet.cancel = cancel
	if err := fleet.start(ctx, background); err != nil {
		return nil, errors.Join(err, fleet.Close())
	}
	return fleet, nil
}

// setCluster gives the fleet a cluster id of its own, unless its folders outlive it, and its
// callers the id: a fleet of another process may listen at an address that this one used.
func (f *Fleet) setCluster() {
	if f.options.Folder == "" {
		f.plan.Cluster = fmt.Sprintf("%s-%x", f.plan.Cluster, rand.Uint64())
	}
	f.plan.Callers = slices.Clone(f.plan.Callers)
	for index := range f.plan.Callers {
		f.plan.Callers[index].Cluster = f.plan.Cluster
	}
}

func (f *Fleet) start(ctx, background context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.makeFolder(); err != nil {
		return err
	}
	if err := f.startMembers(startCtx); err != nil {
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
	if err := f.configure(startCtx); err != nil {
		return err
	}
	for _, slot := range f.nodes {
		if err := f.startNode(slot); err != nil {
			return err
		}
	}
	return f.waitReady(startCtx)
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

// wireOptions returns the wire options of a process of the fleet.
func (f *Fleet) wireOptions(name string) wire.Options {
	return wire.Options{ClusterID: f.plan.Cluster, Name: name}
}

// controlClient returns a client that tries the member at index nearest first, so that
// different nodes use different members.
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

// configure proposes the site's configuration and publishes the first weight version.
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

// Propose proposes a command to the control log as an operator.
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

// Audit checks the observations of the stand-ins and of the given callers.
func (f *Fleet) Audit(callers ...audit.Observations) []audit.Violation {
	seen := f.standIns.observations()
	for _, observations := range callers {
		seen.Merge(observations)
	}
	seen.Merge(audit.Observations{GracefulStops: f.stops})
	limits := audit.Limits{Staleness: make(map[string]uint64)}
	for _, trainer := range f.plan.Trainers {
		limits.Staleness[string(trainer.Pool)] = trainer.Sampling.StalenessBound
	}
	return audit.Check(seen, limits)
}

// Plan returns the plan that the fleet was started from.
func (f *Fleet) Plan() Plan { return f.plan }

// OperatorToken returns the token that the control members require of operators.
func (f *Fleet) OperatorToken() string { return operatorToken }

// Close stops all processes without draining them and removes a temporary folder.
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

// waitUntil polls a condition until it holds or ctx is done.
func waitUntil(ctx context.Context, what string, holds func() bool) error {
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
