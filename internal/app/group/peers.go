package group

import (
	"context"
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

// peers holds the connections to the other members.
type peers struct {
	pool *wire.Pool
	// logPool has the connections for the log and snapshots: a packet that is lost holds up
	// all that follows on its connection, and heartbeats must not wait for it.
	logPool *wire.Pool
	method  string
	mutex   sync.Mutex
	// addresses are those of members, from the member's identity and from the log.
	addresses map[consensus.MemberID]string
}

func newPeers(options wire.Options, method string) *peers {
	return &peers{pool: wire.NewPool(options), logPool: wire.NewPool(options), method: method, addresses: make(map[consensus.MemberID]string)}
}

// setAddresses sets the addresses of members. With prune, it first drops all others and
// closes their connections.
func (p *peers) setAddresses(records []groupmember.Record, prune bool) {
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
		for _, pool := range []*wire.Pool{p.pool, p.logPool} {
			pool.RemoveUnused(func(address string) bool { return used[address] })
		}
	}
}

func (p *peers) address(id consensus.MemberID) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.addresses[id]
}

// send sends a consensus message. The message may be lost; the core retries.
func (p *peers) send(message consensus.Message) {
	address := p.address(message.To)
	if address == "" {
		return
	}
	if message.Kind.CarriesLog() {
		err := p.logPool.Client(address).Send(context.Background(), p.method, message)
		if wire.CodeOf(err) != port.CodeUnavailable {
			return
		}
		// There is no connection for the log yet: the first entries of a leader must not wait.
	}
	_ = p.pool.Client(address).Send(context.Background(), p.method, message)
}

// connect keeps connections to members open. Without a connection the first vote request
// would be lost.
func (p *peers) connect(ids []consensus.MemberID) {
	for _, id := range ids {
		if address := p.address(id); address != "" {
			p.pool.Client(address).Connect()
		}
	}
}

func (p *peers) close() {
	p.pool.Close()
	p.logPool.Close()
}
