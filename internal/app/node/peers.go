package node

import (
	"context"
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/port"
)

// peers caches one client per peer address.
type peers struct {
	options wire.Options
	mutex   sync.Mutex
	clients map[string]*wire.Client
	closed  bool
}

func newPeers(options wire.Options) *peers {
	return &peers{options: options, clients: make(map[string]*wire.Client)}
}

// client returns the client of a peer address.
func (p *peers) client(address string) *wire.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client := p.clients[address]
	if client == nil {
		client = wire.NewClient(address, p.options)
		p.clients[address] = client
		if p.closed {
			client.Close()
		}
	}
	return client
}

// call calls a peer and waits for the answer.
func (p *peers) call(ctx context.Context, address, method string, request, response any) *port.Error {
	return port.AsError(p.client(address).Call(ctx, method, request, response))
}

// send sends a one-way message; it may be lost.
func (p *peers) send(address, method string, message any) {
	_ = p.client(address).Send(context.Background(), method, message)
}

// retain closes the clients of addresses that are no longer in use.
func (p *peers) retain(nodes []port.NodeAddress) {
	inUse := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		inUse[node.PeerAddress] = true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, client := range p.clients {
		if !inUse[address] {
			client.Close()
			delete(p.clients, address)
		}
	}
}

func (p *peers) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, client := range p.clients {
		client.Close()
	}
}
