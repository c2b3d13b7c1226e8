package main

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/app/control"
	"github.com/loomgrade/loomgrade/internal/core/policy"
)

// plannedStopTime bounds how long a planned stop waits for work in flight.
const plannedStopTime = 5 * time.Minute

// controlCommand runs a control member.
type controlCommand struct {
	Settings string `arg:"" type:"path" help:"Settings file with a control section."`
}

// Run starts the member and waits until it is told to stop or fails.
func (c *controlCommand) Run(std streams) error {
	started, err := newProcess(c.Settings)
	if err != nil {
		return err
	}
	if started.file.Control == nil {
		return usageError{&settings.Error{File: c.Settings, Key: "control", Allowed: "a control section"}}
	}
	return started.finish(started.runControl(std))
}

func (p *process) runControl(std streams) error {
	member, err := control.Start(p.controlConfig())
	if err != nil {
		return err
	}
	fmt.Fprintf(std.stdout, "control member %d: peers %s, operators %s\n",
		p.file.Control.ID, member.PeerAddress(), member.OperatorAddress())
	p.untilStopped(member.Done())
	select {
	case <-member.Done():
		return member.Wait()
	default:
	}
	stopping, cancel := stopContext()
	defer cancel()
	return member.Stop(stopping)
}

func (p *process) controlConfig() control.Config {
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
		Metrics:            metrics.ProcessHandler(),
		Logger:             p.ring.Logger(),
	}
	for _, member := range section.Members {
		config.Members = append(config.Members, control.Address{ID: member.ID, Peer: member.Address})
	}
	return config
}
