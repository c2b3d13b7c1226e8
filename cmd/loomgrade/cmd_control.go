package main

import (
	"context"
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/app/control"
	"github.com/loomgrade/loomgrade/internal/core/policy"
)

// shutdownTimeout limits how long a graceful stop waits for work in flight.
const shutdownTimeout = 5 * time.Minute

// controlCommand runs a control member.
type controlCommand struct {
	Settings string `arg:"" type:"path" help:"Settings file with a control section."`
}

// Run starts the member and blocks until a stop signal or a failure.
func (c *controlCommand) Run(std streams) error {
	p, err := newProcess(c.Settings)
	if err != nil {
		return err
	}
	if p.file.Control == nil {
		return usageError{&settings.Error{File: c.Settings, Key: "control", Allowed: "a control section"}}
	}
	return p.finish(p.runControl(std))
}

func (p *process) runControl(std streams) error {
	controlMetrics := metrics.NewControl()
	member, err := control.Start(p.controlConfig(controlMetrics))
	if err != nil {
		return err
	}
	controlMetrics.Observe(func() metrics.ControlReading { return readMember(member) })
	fmt.Fprintf(std.stdout, "control member %d: peers %s, operators %s\n",
		p.file.Control.ID, member.PeerAddress(), member.OperatorAddress())
	p.awaitStop(member.Done())
	select {
	case <-member.Done():
		return member.Wait()
	default:
	}
	stopping, cancel := shutdownContext()
	defer cancel()
	return member.Stop(stopping)
}

// readMember reads a member's state for the metrics. The reading is empty until the
// member has started.
func readMember(member *control.Member) metrics.ControlReading {
	status, err := member.Status(context.Background())
	if err != nil {
		return metrics.ControlReading{}
	}
	sent, received := member.PeerTraffic()
	return metrics.ControlReading{
		Revision:     status.Revision,
		Term:         status.Term,
		Leads:        status.Leader == status.Member,
		QuorumActive: status.QuorumActive,
		Committed:    status.Commit,
		Applied:      status.Applied,
		Snapshot:     status.SnapshotIndex,
		Syncs:        status.Syncs,
		Nodes:        status.Nodes,
		Watching:     status.Watches,
		PeerSent:     sent,
		PeerReceived: received,
	}
}

func (p *process) controlConfig(controlMetrics *metrics.Control) control.Config {
	section := p.file.Control
	config := control.Config{
		Cluster:            p.file.Cluster,
		ID:                 section.ID,
		Join:               section.Join,
		DataFolder:         section.DataFolder,
		PeerAddress:        section.PeerListen,
		OperatorAddress:    section.OperatorListen,
		PeerToken:          p.peerToken,
		OperatorToken:      p.operatorToken,
		Tick:               section.Tick.Value(),
		SnapshotEntries:    section.SnapshotEntries,
		CheckConfiguration: policy.CheckConfiguration,
		Seed:               uint64(time.Now().UnixNano()),
		Metrics:            controlMetrics.Handler(),
		Recorder:           controlMetrics,
		Logger:             p.ring.Logger(),
	}
	for _, member := range section.Members {
		config.Members = append(config.Members, control.Address{ID: member.ID, Peer: member.Address})
	}
	return config
}
