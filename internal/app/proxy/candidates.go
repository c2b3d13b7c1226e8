package proxy

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// candidates are the replicas that a request may be sent to now.
type candidates struct {
	replicas []*sitestate.Replica
	// coldLeft is when the first of those left out as cold may be warm, 0 if none was.
	coldLeft time.Duration
}

// candidates lists the replicas that may be sent a request now. Those outside its homes are
// left out, and cold ones beyond this process's share of them.
func (p *Proxy) candidates(request *Request, now time.Time) candidates {
	view := p.view()
	if view == nil {
		return candidates{}
	}
	service := request.Service
	all := within(view, view.ByService[service], request.AllowedRegions)
	limits := p.coldLimits(view, service)
	if !limits.Bounded() {
		return candidates{replicas: all}
	}
	share := limits.ShareOf(int(view.Senders))
	open := candidates{replicas: make([]*sitestate.Replica, 0, len(all))}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, replica := range all {
		left := view.ColdLeft(replica.ID, now)
		if left == 0 || (share.Has(p.sender, replica.ID) && p.window(replica.ID).Remaining(share.PerSpan, now) > 0) {
			open.replicas = append(open.replicas, replica)
		} else if open.coldLeft == 0 || left < open.coldLeft {
			open.coldLeft = left
		}
	}
	return open
}

// within lists the replicas that stand in homes.
func within(view *siteview.View, replicas sitestate.ReplicaList, homes routing.AllowedRegions) []*sitestate.Replica {
	home := make([]*sitestate.Replica, 0, replicas.Len())
	for replica := range replicas.All() {
		if homes.Allows(view.RegionOf(replica.Zone)) {
			home = append(home, replica)
		}
	}
	return home
}

// coldLimits gives what cold replicas of a service bear.
func (p *Proxy) coldLimits(view *siteview.View, service string) coldlimit.Limits {
	limits := p.cold
	limits.Rate = 0
	if view.Table == nil {
		return limits
	}
	if described := view.Table.Service(service); described != nil {
		limits.Rate = described.WarmupRate
	}
	return limits
}

// window gives what was sent to a replica lately, under the lock.
func (p *Proxy) window(id string) *coldlimit.Window {
	window := p.windows[id]
	if window == nil {
		window = &coldlimit.Window{}
		p.windows[id] = window
	}
	return window
}

// noteSent counts a request against what a cold replica bears, under the lock.
func (p *Proxy) noteSent(service, id string, now time.Time) {
	view := p.view()
	if view != nil && p.coldLimits(view, service).Bounded() {
		p.window(id).Record(now)
	}
}
