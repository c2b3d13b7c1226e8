package wire

import "sync"

// Pool holds one Client for each address. It is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool whose clients have the options.
func NewPool(options Options) *Pool {
	return &Pool{options: options, clients: make(map[string]*Client)}
}

// Client returns the client of an address and creates it on first use.
func (p *Pool) Client(address string) *Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client := p.clients[address]
	if client == nil {
		client = NewClient(address, p.options)
		p.clients[address] = client
	}
	return client
}

// Keep closes and removes the clients of all unused addresses.
func (p *Pool) RemoveUnused(used func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, client := range p.clients {
		if !used(address) {
			client.Close()
			delete(p.clients, address)
		}
	}
}

// Close closes all clients.
func (p *Pool) Close() { p.RemoveUnused(func(string) bool { return false }) }
