package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxDeferred limits the queued requests that a dispatch skips because no replica
// with capacity can serve them.
const maxDeferred = 16

// noBackEndRetryAfter is the RetryAfter of a request that no replica can serve.
const noBackEndRetryAfter = time.Second

// dispatch grants queued requests while a replica has capacity, and refuses those
// that no replica can serve.
func (g *Gate) dispatch(now time.Time) {
	var deferred []admission.Item[*Ticket]
	for g.queue.Len() > 0 && len(deferred) < maxDeferred && g.hasCapacity() {
		item, found := g.next(now)
		if !found {
			break
		}
		if g.assign(now, item.Value) {
			g.resolved = append(g.resolved, item.Value)
			continue
		}
		if refusal := g.checkServable(now, item.Value); refusal != nil {
			g.refuse(item.Value, refusal)
			continue
		}
		deferred = append(deferred, item)
	}
	for _, item := range deferred {
		if refusal := g.queue.Offer(now, item); refusal != nil {
			g.refuse(item.Value, refusal)
		}
	}
	if !g.hasRoutable() {
		g.refuseWaiting(now)
	}
	g.expire(now)
}

// refuse resolves a queued ticket with a refusal.
func (g *Gate) refuse(ticket *Ticket, refusal *port.Error) {
	ticket.refuse(refusal)
	g.resolved = append(g.resolved, ticket)
}

// refuseWaiting refuses all queued requests because no replica is routable.
func (g *Gate) refuseWaiting(now time.Time) {
	for {
		item, found := g.queue.Next(now)
		if !found {
			return
		}
		g.refuse(item.Value, noBackEndError(nil))
	}
}

func (g *Gate) expire(now time.Time) { g.refuseEnded(g.queue.Expire(now)) }

func (g *Gate) refuseEnded(ended []admission.Unserved[*Ticket]) {
	for _, end := range ended {
		g.refuse(end.Item.Value, end.Error)
	}
}

// hasCapacity reports whether any replica can accept another request.
func (g *Gate) hasCapacity() bool {
	for _, state := range g.replicaStates {
		if state.routable() && state.inflight < state.limiter.Limit() {
			return true
		}
	}
	return false
}

func (g *Gate) hasRoutable() bool {
	for _, state := range g.replicaStates {
		if state.routable() {
			return true
		}
	}
	return false
}

// assign chooses a replica with capacity and grants the ticket a slot on it. It
// returns false if there is none.
func (g *Gate) assign(now time.Time, ticket *Ticket) bool {
	request := ticket.Request.Scheduling
	request.Prefix = g.index
	request.Record = true
	result := g.choose(&request, &ticket.Request, g.candidates(now, &ticket.Request, true))
	if result.Chosen < 0 {
		return false
	}
	state := g.replicaStates[result.Chosen]
	state.inflight++
	state.sent++
	state.tokens += request.MaxTokens
	if len(request.PrefixHashes) > 0 {
		g.index.AddOptimistic(now, state.info.ID, request.PrefixHashes)
	}
	ticket.State = Granted
	ticket.Replica = state.info.ID
	ticket.Result = result
	ticket.Waited = now.Sub(ticket.offeredAt)
	ticket.replicaState = state
	return true
}

// choose returns the preferred replica if it passes the filters. Otherwise the
// scheduler chooses, excluding the replica to avoid if another one can serve.
func (g *Gate) choose(request *scheduling.Request, gateRequest *Request, candidates []scheduling.Candidate) scheduling.Result {
	if gateRequest.Preferred != "" {
		if index := indexOf(candidates, gateRequest.Preferred); index >= 0 {
			result := g.scheduler.Pick(request, candidates[index:index+1], g.random)
			if result.Chosen == 0 {
				result.Chosen = index
				return result
			}
		}
	}
	if gateRequest.Avoid != "" {
		excluding := *request
		excluding.Exclude = append(append([]port.ReplicaID(nil), request.Exclude...), gateRequest.Avoid)
		if result := g.scheduler.Pick(&excluding, candidates, g.random); result.Chosen >= 0 {
			return result
		}
	}
	return g.scheduler.Pick(request, candidates, g.random)
}

func indexOf(candidates []scheduling.Candidate, replica port.ReplicaID) int {
	for index := range candidates {
		if candidates[index].Replica == replica {
			return index
		}
	}
	return -1
}

// checkServable returns a refusal if no replica could serve the request even without
// concurrency limits.
func (g *Gate) checkServable(now time.Time, ticket *Ticket) *port.Error {
	request := ticket.Request.Scheduling
	result := g.scheduler.Pick(&request, g.candidates(now, &ticket.Request, false), g.random)
	if result.Chosen >= 0 {
		return nil
	}
	return noBackEndError(result.Filtered)
}

func noBackEndError(filtered []port.FilterCount) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeNoBackEnd, "no replica can serve the request now%s", filterNames(filtered))
	refusal.RetryAfter = noBackEndRetryAfter
	return refusal
}

func filterNames(filtered []port.FilterCount) string {
	text := ""
	for _, count := range filtered {
		text += "; " + count.Filter
	}
	return text
}

// candidates fills the scratch slice with the current state of the replicas. If limits
// is false, a replica at its concurrency limit remains a candidate.
func (g *Gate) candidates(now time.Time, request *Request, limits bool) []scheduling.Candidate {
	g.scratch = g.scratch[:0]
	for _, state := range g.replicaStates {
		candidate := state.candidate(now, request.Scheduling.Adapter)
		if !limits {
			candidate.Limit = 0
			candidate.Inflight = 0
		}
		g.scratch = append(g.scratch, candidate)
	}
	return g.scratch
}
