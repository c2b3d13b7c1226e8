package proxy

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// candidates lists the replicas that may be sent a request now.
type candidates struct {
	replicas []*sitestate.Replica
	// coldRemaining is how long the first of the excluded cold replicas stays cold, 0 if
	// none was excluded.
	coldRemaining time.Duration
}

// candidates returns the replicas that may be sent a request now: those in its allowed
// regions, without the cold ones beyond this process's share.
func (p *Proxy) candidates(request *Request, now time.Time) candidates {
	view := p.view()
	if view == nil {
		return candidates{}
	}
	service := request.Service
	all := inRegions(view, view.ByService[service], request.AllowedRegions)
	limits := p.coldLimits(view, service)
	if !limits.Bounded() {
		return candidates{replicas: all}
	}
	share := limits.ShareOf(int(view.Senders))
	eligible := candidates{replicas: make([]*sitestate.Replica, 0, len(all))}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, replica := range all {
		left := view.ColdLeft(replica.ID, now)
		if left == 0 || (share.Has(p.sender, replica.ID) && p.window(replica.ID).Remaining(share.PerSpan, now) > 0) {
			eligible.replicas = append(eligible.replicas, replica)
		} else if eligible.coldRemaining == 0 || left < eligible.coldRemaining {
			eligible.coldRemaining = left
		}
	}
	return eligible
}

// inRegions returns the replicas in the allowed regions.
func inRegions(view *siteview.View, replicas sitestate.ReplicaList, regions routing.AllowedRegions) []*sitestate.Replica {
	allowed := make([]*sitestate.Replica, 0, replicas.Len())
	for replica := range replicas.All() {
		if regions.Allows(view.RegionOf(replica.Zone)) {
			allowed = append(allowed, replica)
		}
	}
	return allowed
}

// coldLimits returns the request limits of a service's cold replicas.
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

// window returns the window of recent sends to a replica. The mutex must be held.
func (p *Proxy) window(id string) *coldlimit.Window {
	window := p.windows[id]
	if window == nil {
		window = &coldlimit.Window{}
		p.windows[id] = window
	}
	return window
}

// recordSent counts a request against the limit of a cold replica. The mutex must be held.
func (p *Proxy) recordSent(service, id string, now time.Time) {
	view := p.view()
	if view != nil && p.coldLimits(view, service).Bounded() {
		p.window(id).Record(now)
	}
}
