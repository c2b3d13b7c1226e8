package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxSetAside bounds the waiting requests that a dispatch passes over because
// the replicas with room can't serve them.
const maxSetAside = 16

// retryWhenNone is the advised wait when no replica can serve a request.
const retryWhenNone = time.Second

// dispatch grants waiting requests while a replica has room, and ends those that
// can't be served.
func (g *Gate) dispatch(now time.Time) {
	var setAside []admission.Item[*Ticket]
	for g.queue.Len() > 0 && len(setAside) < maxSetAside && g.hasRoom() {
		item, found := g.next(now)
		if !found {
			break
		}
		if g.place(now, item.Value) {
			g.settled = append(g.settled, item.Value)
			continue
		}
		if refusal := g.checkServable(now, item.Value); refusal != nil {
			g.refuse(item.Value, refusal)
			continue
		}
		setAside = append(setAside, item)
	}
	for _, item := range setAside {
		if refusal := g.queue.Offer(now, item); refusal != nil {
			g.refuse(item.Value, refusal)
		}
	}
	if !g.hasRoutable() {
		g.refuseWaiting(now)
	}
	g.expire(now)
}

// refuse settles a ticket that waited.
func (g *Gate) refuse(ticket *Ticket, refusal *port.Error) {
	ticket.refuse(refusal)
	g.settled = append(g.settled, ticket)
}

// refuseWaiting ends what waits when no replica is left that could serve it.
func (g *Gate) refuseWaiting(now time.Time) {
	for {
		item, found := g.queue.Next(now)
		if !found {
			return
		}
		g.refuse(item.Value, noBackEnd(nil))
	}
}

func (g *Gate) expire(now time.Time) { g.finish(g.queue.Expire(now)) }

func (g *Gate) finish(ended []admission.Ended[*Ticket]) {
	for _, end := range ended {
		g.refuse(end.Item.Value, end.Error)
	}
}

// hasRoom says whether some replica may take another request.
func (g *Gate) hasRoom() bool {
	for _, held := range g.slots {
		if held.routable() && held.inflight < held.limiter.Limit() {
			return true
		}
	}
	return false
}

func (g *Gate) hasRoutable() bool {
	for _, held := range g.slots {
		if held.routable() {
			return true
		}
	}
	return false
}

// place chooses a replica with room and takes a place on it; false means that
// there is none.
func (g *Gate) place(now time.Time, ticket *Ticket) bool {
	request := ticket.Request.Pick
	request.Prefix = g.index
	request.Record = true
	result := g.choose(&request, &ticket.Request, g.candidates(now, &ticket.Request, true))
	if result.Chosen < 0 {
		return false
	}
	held := g.slots[result.Chosen]
	held.inflight++
	held.sent++
	held.tokens += request.MaxTokens
	if len(request.PrefixHashes) > 0 {
		g.index.Sent(now, held.replica.ID, request.PrefixHashes)
	}
	ticket.State = Granted
	ticket.Replica = held.replica.ID
	ticket.Result = result
	ticket.Waited = now.Sub(ticket.offered)
	ticket.slot = held
	return true
}

// choose takes the preferred replica if it passes the filters, keeps off the
// avoided one if another can serve, and otherwise leaves the choice to the
// scheduler.
func (g *Gate) choose(request *scheduling.Request, wanted *Request, candidates []scheduling.Candidate) scheduling.Result {
	if wanted.Preferred != "" {
		if index := position(candidates, wanted.Preferred); index >= 0 {
			result := g.scheduler.Pick(request, candidates[index:index+1], g.random)
			if result.Chosen == 0 {
				result.Chosen = index
				return result
			}
		}
	}
	if wanted.Avoid != "" {
		excluding := *request
		excluding.Exclude = append(append([]port.ReplicaID(nil), request.Exclude...), wanted.Avoid)
		if result := g.scheduler.Pick(&excluding, candidates, g.random); result.Chosen >= 0 {
			return result
		}
	}
	return g.scheduler.Pick(request, candidates, g.random)
}

func position(candidates []scheduling.Candidate, replica port.ReplicaID) int {
	for index := range candidates {
		if candidates[index].Replica == replica {
			return index
		}
	}
	return -1
}

// checkServable gives the refusal of a request that no replica could serve even
// if it had room.
func (g *Gate) checkServable(now time.Time, ticket *Ticket) *port.Error {
	request := ticket.Request.Pick
	result := g.scheduler.Pick(&request, g.candidates(now, &ticket.Request, false), g.random)
	if result.Chosen >= 0 {
		return nil
	}
	return noBackEnd(result.Filtered)
}

func noBackEnd(filtered []port.FilterCount) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeNoBackEnd, "no replica can serve the request now%s", reasons(filtered))
	refusal.RetryAfter = retryWhenNone
	return refusal
}

func reasons(filtered []port.FilterCount) string {
	text := ""
	for _, count := range filtered {
		text += "; " + count.Filter
	}
	return text
}

// candidates fills the scratch space with what is known now. Without limits a
// replica at its limit passes too.
func (g *Gate) candidates(now time.Time, request *Request, limits bool) []scheduling.Candidate {
	g.scratch = g.scratch[:0]
	for _, held := range g.slots {
		candidate := held.candidate(now, request.Pick.Adapter)
		if !limits {
			candidate.Limit = 0
			candidate.Inflight = 0
		}
		g.scratch = append(g.scratch, candidate)
	}
	return g.scratch
}
