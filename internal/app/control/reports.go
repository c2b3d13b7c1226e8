package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// reportLifetime is how long the last report of a node is stored.
	reportLifetime = 10 * time.Minute
	reportsTimeout = time.Second
)

// reports stores the last report of each node that reports to this member. The
// reports of the other members are requested on demand.
type reports struct {
	mutex sync.Mutex
	nodes map[port.NodeID]receivedReport
}

type receivedReport struct {
	report port.NodeReport
	at     time.Time
	// revisionSince is when the node first reported its revision here.
	revisionSince time.Time
}

func newReports() *reports { return &reports{nodes: make(map[port.NodeID]receivedReport)} }

// add stores a report. At the maximum number of nodes it removes expired reports,
// and fails if there are none.
func (r *reports) add(report port.NodeReport, now time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	previous, known := r.nodes[report.Node.ID]
	if !known && len(r.nodes) >= registry.MaxNodes && !r.expire(now) {
		return port.NewError(port.NotRun, port.CodeTooLarge, "reports of %d nodes are stored, which is the limit", registry.MaxNodes)
	}
	received := receivedReport{report: report, at: now, revisionSince: now}
	if known && previous.report.Revision == report.Revision {
		received.revisionSince = previous.revisionSince
	}
	r.nodes[report.Node.ID] = received
	return nil
}

func (r *reports) expire(now time.Time) (dropped bool) {
	for id, received := range r.nodes {
		if now.Sub(received.at) > reportLifetime {
			delete(r.nodes, id)
			dropped = true
		}
	}
	return dropped
}

func (r *reports) list(now time.Time) []operatorapi.NodeReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := make([]operatorapi.NodeReport, 0, len(r.nodes))
	for _, received := range r.nodes {
		list = append(list, operatorapi.NodeReport{
			Report:        received.report,
			AgeMillis:     now.Sub(received.at).Milliseconds(),
			RevisionSince: received.revisionSince.UnixMilli(),
		})
	}
	return list
}

// gatherReports merges the reports of all members.
func (m *Member) gatherReports(ctx context.Context) operatorapi.Reports {
	ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
	defer cancel()
	var mutex sync.Mutex
	merged := mergeReports(nil, m.reports.list(time.Now()))
	var unreachable []uint64
	var group errgroup.Group
	for _, id := range m.loop().published.Load().status.Membership.Members() {
		if uint64(id) == m.config.ID {
			continue
		}
		group.Go(func() error {
			answer, err := m.requestReports(ctx, id)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				unreachable = append(unreachable, uint64(id))
				return nil
			}
			merged = mergeReports(merged, answer.Nodes)
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(unreachable)
	return operatorapi.Reports{Nodes: sortedReports(merged), Unreachable: unreachable}
}

func (m *Member) requestReports(ctx context.Context, id consensus.MemberID) (peerapi.ReportsAnswer, error) {
	var answer peerapi.ReportsAnswer
	err := m.peers.call(ctx, id, peerapi.MethodReports, peerapi.Empty{}, &answer)
	return answer, err
}

// mergeReports adds reports to merged: the latest report of each node, with the earliest
// time at which the node reported that revision.
func mergeReports(merged map[port.NodeID]operatorapi.NodeReport, more []operatorapi.NodeReport) map[port.NodeID]operatorapi.NodeReport {
	if merged == nil {
		merged = make(map[port.NodeID]operatorapi.NodeReport, len(more))
	}
	for _, report := range more {
		other, known := merged[report.Report.Node.ID]
		if !known {
			merged[report.Report.Node.ID] = report
			continue
		}
		older, younger := other, report
		if younger.AgeMillis > older.AgeMillis {
			older, younger = younger, older
		}
		if older.Report.Revision == younger.Report.Revision {
			younger.RevisionSince = min(older.RevisionSince, younger.RevisionSince)
		}
		merged[report.Report.Node.ID] = younger
	}
	return merged
}

func sortedReports(merged map[port.NodeID]operatorapi.NodeReport) []operatorapi.NodeReport {
	list := make([]operatorapi.NodeReport, 0, len(merged))
	for _, report := range merged {
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b operatorapi.NodeReport) int {
		return cmp.Compare(a.Report.Node.ID, b.Report.Node.ID)
	})
	return list
}
