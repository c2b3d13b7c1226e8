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
	// coldRemaining is the time until the first of the excluded cold replicas is warm, 0 if
	// none was excluded.
	coldRemaining time.Duration
}

// candidates returns the replicas that may be sent a request now: those in its allowed
// regions, except cold ones that have received this process's share of their requests.
func (p *Proxy) candidates(request *Request, now time.Time) candidates {
	view := p.view()
	if view == nil {
		return candidates{}
	}
	service := request.Service
	all := inRegions(view, view.ByService[service], request.AllowedRegions)
	limits := p.coldLimits(view, service)
	if !limits.Limited() {
		return candidates{replicas: all}
	}
	share := limits.ShareOf(int(view.Senders))
	eligible := candidates{replicas: make([]*sitestate.Replica, 0, len(all))}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, replica := range all {
		remaining := view.ColdRemaining(replica.ID, now)
		if remaining == 0 || (share.Has(p.sender, replica.ID) && p.window(replica.ID).Remaining(share.PerSpan, now) > 0) {
			eligible.replicas = append(eligible.replicas, replica)
		} else if eligible.coldRemaining == 0 || remaining < eligible.coldRemaining {
			eligible.coldRemaining = remaining
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
	if config := view.Table.Service(service); config != nil {
		limits.Rate = config.WarmupRate
	}
	return limits
}

// window returns the window of recent sends to a replica. The caller must hold p.mutex.
func (p *Proxy) window(id string) *coldlimit.Window {
	window := p.windows[id]
	if window == nil {
		window = &coldlimit.Window{}
		p.windows[id] = window
	}
	return window
}

// recordSent counts a request against the limit of a cold replica. The caller must hold
// p.mutex.
func (p *Proxy) recordSent(service, id string, now time.Time) {
	view := p.view()
	if view != nil && p.coldLimits(view, service).Limited() {
		p.window(id).Record(now)
	}
}
