package control

import (
	"context"
	"strconv"
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// peers holds the connections to the other members.
type peers struct {
	options wire.Options
	mutex   sync.Mutex
	// addresses of members, from the configuration and from the log.
	addresses map[consensus.MemberID]string
	clients   map[consensus.MemberID]*wire.Client
	// logClients have the connections for the log and snapshots, so that heartbeats do not wait
	// for them.
	logClients map[consensus.MemberID]*wire.Client
	closed     bool
}

func newPeers(config Config) *peers {
	p := &peers{
		options:    config.Wire,
		addresses:  make(map[consensus.MemberID]string),
		clients:    make(map[consensus.MemberID]*wire.Client),
		logClients: make(map[consensus.MemberID]*wire.Client),
	}
	for _, member := range config.Members {
		p.addresses[consensus.MemberID(member.ID)] = member.Peer
	}
	return p
}

// setAddress sets the address of a member.
func (p *peers) setAddress(id consensus.MemberID, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if address == "" || p.addresses[id] == address {
		return
	}
	p.addresses[id] = address
	for _, clients := range p.allClients() {
		if client := clients[id]; client != nil {
			client.Close()
			delete(clients, id)
		}
	}
}

func (p *peers) allClients() []map[consensus.MemberID]*wire.Client {
	return []map[consensus.MemberID]*wire.Client{p.clients, p.logClients}
}

func (p *peers) address(id consensus.MemberID) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.addresses[id]
}

func (p *peers) client(id consensus.MemberID) *wire.Client { return p.clientOf(p.clients, id) }

// clientOf returns a member's client in clients and creates it on first use. It returns nil if
// the address is unknown.
func (p *peers) clientOf(clients map[consensus.MemberID]*wire.Client, id consensus.MemberID) *wire.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if client := clients[id]; client != nil {
		return client
	}
	address, known := p.addresses[id]
	if !known || p.closed {
		return nil
	}
	client := wire.NewClient(address, p.options)
	clients[id] = client
	return client
}

// connect keeps connections to members open. Followers rarely communicate, and
// without a connection the first vote request would be lost.
func (p *peers) connect(ids []consensus.MemberID) {
	for _, id := range ids {
		if client := p.client(id); client != nil {
			client.Connect()
		}
	}
}

// send sends a consensus message. The message may be lost; the core retries.
func (p *peers) send(message consensus.Message) {
	if message.Kind.CarriesLog() {
		client := p.clientOf(p.logClients, message.To)
		if client != nil && wire.CodeOf(client.Send(context.Background(), peerapi.MethodConsensus, message)) != port.CodeUnavailable {
			return
		}
		// There is no connection for the log yet: the first entries of a leader must not wait.
	}
	if client := p.client(message.To); client != nil {
		_ = client.Send(context.Background(), peerapi.MethodConsensus, message)
	}
}

func (p *peers) call(ctx context.Context, id consensus.MemberID, method string, request, response any) error {
	client := p.client(id)
	if client == nil {
		return port.NewError(port.NotRun, port.CodeUnavailable, "the address of member %d is unknown", id)
	}
	return client.Call(ctx, method, request, response)
}

func (p *peers) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, clients := range p.allClients() {
		for _, client := range clients {
			client.Close()
		}
	}
}

func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }
