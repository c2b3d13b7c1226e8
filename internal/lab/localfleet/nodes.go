package localfleet

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// nodeSlot is a node's identity and addresses, and the running node, nil while it is
// stopped.
type nodeSlot struct {
	index       int
	id          port.NodeID
	zone        port.ZoneName
	httpAddress string
	peerAddress string
	// listeners are opened before the first start and used by it.
	listeners *[2]net.Listener
	client    *controlclient.Client
	node      *node.Node
}

func (f *Fleet) listenNodes() error {
	for _, zone := range f.plan.Zones {
		for number := range f.plan.NodesPerZone {
			pair, err := listenPair()
			if err != nil {
				return err
			}
			f.nodes = append(f.nodes, &nodeSlot{
				index:       len(f.nodes),
				id:          port.NodeID(fmt.Sprintf("node-%s-%d", zone, number+1)),
				zone:        zone,
				httpAddress: pair[0].Addr().String(),
				peerAddress: pair[1].Addr().String(),
				listeners:   &pair,
			})
		}
	}
	return nil
}

func (f *Fleet) startNode(slot *nodeSlot) error {
	client, err := f.controlClient(string(slot.id), slot.index)
	if err != nil {
		return err
	}
	config := node.Config{
		ID: slot.id, Zone: slot.zone, ClusterID: f.plan.Cluster,
		OperatorToken: operatorToken,
		HTTPAddress:   slot.httpAddress, PeerAddress: slot.peerAddress,
		Control:    client,
		DataFolder: f.dataFolder(string(slot.id)),
		Seed:       f.plan.Seed + uint64(slot.index),
		Logger:     f.options.Logger,
		Intervals:  f.options.Intervals,
	}
	if slot.listeners != nil {
		config.HTTPListener, config.PeerListener = slot.listeners[0], slot.listeners[1]
		slot.listeners = nil
	}
	started, err := node.Start(context.Background(), config)
	if err != nil {
		client.Close()
		return err
	}
	slot.client, slot.node = client, started
	return nil
}

func (s *nodeSlot) close() {
	if s.listeners != nil {
		for _, listener := range s.listeners {
			listener.Close()
		}
		s.listeners = nil
	}
	if s.node == nil {
		return
	}
	s.node.Close()
	s.client.Close()
	s.node, s.client = nil, nil
}

// Nodes returns the number of nodes, including stopped ones.
func (f *Fleet) Nodes() int { return len(f.nodes) }

// NodeURL returns the base URL of a node.
func (f *Fleet) NodeURL(index int) string { return "http://" + f.nodes[index].httpAddress }

// NodeURLs returns the base URLs of all nodes.
func (f *Fleet) NodeURLs() []string {
	urls := make([]string, len(f.nodes))
	for index := range f.nodes {
		urls[index] = f.NodeURL(index)
	}
	return urls
}

// KillNode stops a node as a crash would.
func (f *Fleet) KillNode(index int) { f.nodes[index].close() }

// RestartNode starts a stopped node at its previous addresses.
func (f *Fleet) RestartNode(index int) error { return f.startNode(f.nodes[index]) }

// DrainNode stops a node gracefully and records the stop for the audit.
func (f *Fleet) DrainNode(ctx context.Context, index int) error {
	slot := f.nodes[index]
	from := now()
	err := slot.node.Drain(ctx)
	f.stops = append(f.stops, audit.GracefulStop{
		Process: slot.httpAddress,
		From:    from,
		To:      now(),
	})
	slot.client.Close()
	slot.node, slot.client = nil, nil
	return err
}

// waitReady waits until every running node reports ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	return waitUntil(ctx, "every node is ready", func() bool {
		for index, slot := range f.nodes {
			if slot.node != nil && !f.ready(ctx, index) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) ready(ctx context.Context, index int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.NodeURL(index)+api.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
