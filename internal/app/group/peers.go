package group

import (
	"context"
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// peers holds the connections to the other members.
type peers struct {
	pool   *wire.Pool
	method string
	mutex  sync.Mutex
	// addresses of members by id.
	addresses map[consensus.MemberID]string
}

func newPeers(options wire.Options, method string) *peers {
	return &peers{pool: wire.NewPool(options), method: method, addresses: make(map[consensus.MemberID]string)}
}

// learn notes addresses of members, and closes connections that no known
// member uses any more once prune is set.
func (p *peers) learn(records []groupmember.Record, prune bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if prune {
		clear(p.addresses)
	}
	used := make(map[string]bool, len(records))
	for _, record := range records {
		p.addresses[record.ID] = record.Address
		used[record.Address] = true
	}
	if prune {
		p.pool.RemoveUnused(func(address string) bool { return used[address] })
	}
}

func (p *peers) address(id consensus.MemberID) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.addresses[id]
}

// send hands a consensus message to the network. It may be lost; the core
// sends again.
func (p *peers) send(message consensus.Message) {
	if address := p.address(message.To); address != "" {
		_ = p.pool.Client(address).Send(context.Background(), p.method, message)
	}
}

// connect keeps connections to voters open, so that the first request for a
// vote is not lost.
func (p *peers) connect(ids []consensus.MemberID) {
	for _, id := range ids {
		if address := p.address(id); address != "" {
			p.pool.Client(address).Connect()
		}
	}
}

func (p *peers) close() { p.pool.Close() }
