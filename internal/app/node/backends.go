package node

import (
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/appclient"
	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
)

// backEnds caches the clients of engines and application back ends by address.
type backEnds struct {
	streams *httpcall.Client
	control *httpcall.Client
	calls   *httpcall.Client

	mutex        sync.Mutex
	engines      map[string]*engineclient.Client
	applications map[string]*appclient.Client
}

func newBackEnds() *backEnds {
	return &backEnds{
		streams:      httpcall.New(httpcall.Limits{}),
		control:      httpcall.New(httpcall.Limits{}),
		calls:        httpcall.New(httpcall.Limits{}),
		engines:      make(map[string]*engineclient.Client),
		applications: make(map[string]*appclient.Client),
	}
}

func (b *backEnds) engine(address string) port.Engine {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	client := b.engines[address]
	if client == nil {
		client = engineclient.New(b.streams, b.control, address, engineclient.Limits{})
		b.engines[address] = client
	}
	return client
}

func (b *backEnds) application(address string) port.Application {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	client := b.applications[address]
	if client == nil {
		client = appclient.New(b.calls, address, 0)
		b.applications[address] = client
	}
	return client
}

// retain drops the clients of addresses that are no longer configured.
func (b *backEnds) retain(replicas []port.Replica) {
	inUse := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		inUse[replica.Address] = true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for address := range b.engines {
		if !inUse[address] {
			delete(b.engines, address)
		}
	}
	for address := range b.applications {
		if !inUse[address] {
			delete(b.applications, address)
		}
	}
}

func (b *backEnds) close() {
	b.mutex.Lock()
	engines := b.engines
	b.engines = make(map[string]*engineclient.Client)
	b.mutex.Unlock()
	for _, engine := range engines {
		engine.Close()
	}
	b.streams.Close()
	b.control.Close()
	b.calls.Close()
}
