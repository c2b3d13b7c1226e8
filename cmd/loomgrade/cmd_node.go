package main

import (
	"context"
	"fmt"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/node"
)

// nodeCommand runs a node.
type nodeCommand struct {
	Settings string `arg:"" type:"path" help:"Settings file with a node section."`
}

// Run starts the node and blocks until a stop signal.
func (c *nodeCommand) Run(std streams) error {
	p, err := newProcess(c.Settings)
	if err != nil {
		return err
	}
	if p.file.Node == nil {
		return usageError{&settings.Error{File: c.Settings, Key: "node", Allowed: "a node section"}}
	}
	return p.finish(p.runNode(std))
}

func (p *process) runNode(std streams) error {
	section := p.file.Node
	client, err := controlclient.New(controlclient.Config{
		Addresses: section.ControlMembers,
		Wire:      wire.Options{ClusterID: p.file.Cluster, Token: p.peerToken, Name: string(section.ID)},
		Node:      section.ID,
	})
	if err != nil {
		return err
	}
	defer client.Close()
	running, err := node.Start(context.Background(), p.nodeConfig(client))
	if err != nil {
		return err
	}
	fmt.Fprintf(std.stdout, "node %s in zone %s: callers %s, peers %s\n",
		section.ID, section.Zone, running.HTTPAddress(), running.PeerAddress())
	p.awaitStop(nil)
	stopping, cancel := shutdownContext()
	defer cancel()
	return running.Drain(stopping)
}

func (p *process) nodeConfig(client *controlclient.Client) node.Config {
	section := p.file.Node
	return node.Config{
		ID:            section.ID,
		Zone:          section.Zone,
		Region:        section.Region,
		ClusterID:     p.file.Cluster,
		PeerToken:     p.peerToken,
		OperatorToken: p.operatorToken,
		HTTPAddress:   section.HTTPListen,
		PeerAddress:   section.PeerListen,
		Control:       client,
		DataFolder:    section.DataFolder,
		Intervals:     node.Intervals{ConfigurationLease: section.ConfigurationLease.Value()},
		Logger:        p.ring.Logger(),
	}
}
