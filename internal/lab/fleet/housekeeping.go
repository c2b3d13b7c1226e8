package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/control"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	houseInterval  = time.Second
	reportsTimeout = time.Second
	proposeTimeout = 3 * time.Second
)

// takeReport keeps a node's report and registers the node if the view does not
// show it as it reports itself.
func (m *member) takeReport(report port.NodeReport) {
	m.reports[report.Node.ID] = heldReport{report: report, at: m.fleet.Now()}
	for _, node := range m.core.State().View().Nodes {
		if node == report.Node {
			return
		}
	}
	command := port.Command{RegisterNode: &port.RegisterNode{Node: report.Node}}
	m.propose(command, false, func(port.Result, bool) {})
}

// keepHouse lets the leader ask the others for their reports and take silent
// nodes out of the view.
func (m *member) keepHouse() time.Duration {
	if !m.core.IsLeader() || !m.core.QuorumContact() {
		m.silence.Reset()
		return houseInterval
	}
	ages := make(map[port.NodeID]time.Duration, len(m.fleet.nodes))
	m.mergeAges(ages, m.listReports())
	open := 0
	for _, other := range m.fleet.members {
		if other == m {
			continue
		}
		open++
		m.askReports(other, func(answer peerapi.ReportsAnswer) {
			m.mergeAges(ages, answer.Nodes)
			if open--; open == 0 {
				m.removeSilent(ages)
			}
		})
	}
	if open == 0 {
		m.removeSilent(ages)
	}
	return houseInterval
}

func (m *member) askReports(other *member, take func(peerapi.ReportsAnswer)) {
	call := message{workReports, wire.KindCall, peerapi.MethodReports, peerapi.Empty{}}
	m.fleet.call(&m.endpoint, &other.endpoint, call, reportsTimeout, func(_ []byte, reply func(any)) {
		reply(peerapi.ReportsAnswer{Nodes: other.listReports()})
	}, func(body []byte, answered bool) {
		var answer peerapi.ReportsAnswer
		if answered {
			m.fleet.decode(body, &answer)
		}
		take(answer)
	})
}

func (m *member) listReports() []operatorapi.NodeReport {
	list := make([]operatorapi.NodeReport, 0, len(m.reports))
	for _, node := range m.fleet.nodes {
		if held, found := m.reports[node.address.ID]; found {
			list = append(list, operatorapi.NodeReport{
				Report: held.report, AgeMillis: (m.fleet.Now() - held.at).Milliseconds(),
			})
		}
	}
	return list
}

func (m *member) mergeAges(ages map[port.NodeID]time.Duration, reports []operatorapi.NodeReport) {
	for _, report := range reports {
		age := time.Duration(report.AgeMillis) * time.Millisecond
		if known, found := ages[report.Report.Node.ID]; !found || age < known {
			ages[report.Report.Node.ID] = age
		}
	}
}

// removeSilent proposes the removal of silent nodes, one after the other.
func (m *member) removeSilent(ages map[port.NodeID]time.Duration) {
	if !m.core.IsLeader() || m.removing {
		return
	}
	m.removing = true
	silent := m.silence.Silent(m.core.State().View().Nodes, ages, m.fleet.wall(), control.DefaultNodeTimeout)
	m.removeNext(silent)
}

func (m *member) removeNext(silent []port.NodeID) {
	if len(silent) == 0 {
		m.removing = false
		return
	}
	command := port.Command{RemoveNode: &port.RemoveNode{ID: silent[0]}}
	m.propose(command, true, func(port.Result, bool) { m.removeNext(silent[1:]) })
}
