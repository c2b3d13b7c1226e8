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

// dispatch grants waiting requests while a replica has room. The caller holds
// the mutex.
func (g *Gate) dispatch(now time.Time) {
	var setAside []admission.Item[*ticket]
	for g.queue.Len() > 0 && len(setAside) < maxSetAside && g.hasRoom() {
		item, found := g.queue.Next(now)
		if !found {
			break
		}
		if grant := g.place(now, item.Value); grant != nil {
			item.Value.result <- outcome{grant: grant}
			continue
		}
		if refusal := g.checkServable(item.Value); refusal != nil {
			item.Value.result <- outcome{err: refusal}
			continue
		}
		setAside = append(setAside, item)
	}
	for _, item := range setAside {
		if refusal := g.queue.Offer(now, item); refusal != nil {
			item.Value.result <- outcome{err: refusal}
		}
	}
	if !g.hasRoutable() {
		g.refuseWaiting(now)
	}
	g.expire(now)
}

// refuseWaiting ends what waits when no replica is left that could serve it.
func (g *Gate) refuseWaiting(now time.Time) {
	for {
		item, found := g.queue.Next(now)
		if !found {
			return
		}
		item.Value.result <- outcome{err: noBackEnd(nil)}
	}
}

func (g *Gate) expire(now time.Time) { g.finish(g.queue.Expire(now)) }

func (g *Gate) finish(ended []admission.Ended[*ticket]) {
	for _, end := range ended {
		end.Item.Value.result <- outcome{err: end.Error}
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

func (s *slot) routable() bool {
	replica := &s.replica
	return !replica.Draining && !replica.Leaving && !replica.Ejected && !replica.VersionUnknown
}

// place chooses a replica with room and takes a place on it; nil means that
// there is none.
func (g *Gate) place(now time.Time, waiting *ticket) *Grant {
	request := waiting.request.Pick
	request.Prefix = g.index
	request.Record = true
	candidates := g.candidates(now, &waiting.request, true)
	result := g.choose(&request, waiting.request, candidates)
	if result.Chosen < 0 {
		return nil
	}
	held := g.slots[result.Chosen]
	held.inflight++
	held.sent++
	held.tokens += request.MaxTokens
	if len(request.PrefixHashes) > 0 {
		g.index.Sent(now, held.replica.ID, request.PrefixHashes)
	}
	return &Grant{
		Replica: held.replica.ID,
		Result:  result,
		Waited:  now.Sub(waiting.offered),
		gate:    g,
		slot:    held,
		tokens:  request.MaxTokens,
		started: now,
	}
}

// choose takes the preferred replica if it passes the filters, keeps off the
// avoided one if another can serve, and otherwise leaves the choice to the
// scheduler.
func (g *Gate) choose(request *scheduling.Request, wanted Request, candidates []scheduling.Candidate) scheduling.Result {
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
func (g *Gate) checkServable(waiting *ticket) *port.Error {
	request := waiting.request.Pick
	result := g.scheduler.Pick(&request, g.candidates(waiting.offered, &waiting.request, false), g.random)
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

func (s *slot) candidate(now time.Time, adapter string) scheduling.Candidate {
	report := &s.replica.Report
	version, staged := report.Serves(adapter)
	return scheduling.Candidate{
		Replica:             s.replica.ID,
		Zone:                s.replica.Zone,
		Region:              s.replica.Region,
		Version:             version,
		Staged:              staged,
		VersionUnknown:      s.replica.VersionUnknown,
		Role:                report.Role,
		Adapters:            adapterNames(report.Adapters),
		Draining:            s.replica.Draining,
		Leaving:             s.replica.Leaving,
		Ejected:             s.replica.Ejected,
		Probing:             s.replica.Probing,
		Running:             report.Running,
		Waiting:             report.Waiting,
		ReportAge:           s.reportAge(now),
		Inflight:            s.inflight,
		SentSinceReport:     s.sent - s.sentMark,
		FinishedSinceReport: s.finished - s.finishedMark,
		InflightTokens:      s.tokens,
		KVUsed:              report.KVUsed,
		KVTotal:             report.KVTotal,
		Limit:               s.limiter.Limit(),
	}
}

// noReport is the age of a report that never came.
const noReport = time.Hour

func (s *slot) reportAge(now time.Time) time.Duration {
	if s.replica.ReportedAt.IsZero() {
		return noReport
	}
	return now.Sub(s.replica.ReportedAt)
}

func adapterNames(adapters []port.AdapterVersion) []string {
	if len(adapters) == 0 {
		return nil
	}
	names := make([]string, 0, len(adapters))
	for _, adapter := range adapters {
		names = append(names, adapter.Name)
	}
	return names
}
