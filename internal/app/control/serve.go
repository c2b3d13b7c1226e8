package control

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// register registers the handlers of the internal protocol.
func (m *Member) register() {
	m.server.HandleMessage(peerapi.MethodConsensus, m.enqueueMessage)
	m.server.Handle(methodBootstrap, m.serveBootstrap)
	for method, handler := range map[string]wire.Handler{
		controlclient.MethodPropose: m.serveProposal(false),
		peerapi.MethodForward:       m.serveProposal(true),
		controlclient.MethodWatch:   m.serveWatch,
		controlclient.MethodReport:  m.serveReport,
		peerapi.MethodReports:       m.serveReports,
		methodReadIndex:             m.serveReadIndex,
		methodChangeMember:          m.serveMemberChange,
	} {
		m.server.Handle(method, m.requireStarted(handler))
	}
}

// requireStarted rejects calls until the loop runs.
func (m *Member) requireStarted(handler wire.Handler) wire.Handler {
	return func(ctx context.Context, call *wire.Call) error {
		if err := m.checkStarted(); err != nil {
			return err
		}
		return handler(ctx, call)
	}
}

// enqueueMessage queues a consensus message, or drops it if the queue is full.
func (m *Member) enqueueMessage(_ context.Context, call *wire.Call) {
	l := m.current.Load()
	var message consensus.Message
	if l == nil || call.Decode(&message) != nil {
		return
	}
	select {
	case l.messages <- message:
	default:
	}
}

func (m *Member) serveProposal(forwarded bool) wire.Handler {
	return func(ctx context.Context, call *wire.Call) error {
		var command port.Command
		if err := call.Decode(&command); err != nil {
			return err
		}
		result, err := m.propose(ctx, command, forwarded)
		if err != nil {
			return err
		}
		return call.Send(result)
	}
}

// serveReport stores a node's report and registers the node if the view does not
// match it. A failed registration is retried on the next report.
func (m *Member) serveReport(ctx context.Context, call *wire.Call) error {
	var report port.NodeReport
	if err := call.Decode(&report); err != nil {
		return err
	}
	if err := m.reports.add(report, time.Now()); err != nil {
		return err
	}
	if isRegistered(m.loop().published.Load().view, report.Node) {
		return nil
	}
	result, err := m.propose(ctx, port.Command{RegisterNode: &port.RegisterNode{Node: report.Node}}, false)
	if err == nil && result.Error != nil {
		return result.Error
	}
	return nil
}

// isRegistered reports whether the view has the node with the same addresses and
// draining flag.
func isRegistered(view *port.View, node port.NodeAddress) bool {
	byID := func(registered port.NodeAddress, id port.NodeID) int { return cmp.Compare(registered.ID, id) }
	position, found := slices.BinarySearchFunc(view.Nodes, node.ID, byID)
	return found && view.Nodes[position] == node
}

func (m *Member) serveReports(_ context.Context, call *wire.Call) error {
	return call.Send(peerapi.ReportsAnswer{Nodes: m.reports.list(time.Now())})
}

func (m *Member) serveReadIndex(ctx context.Context, call *wire.Call) error {
	index, err := m.readIndex(ctx, true)
	if err != nil {
		return err
	}
	return call.Send(readIndexAnswer{Index: index})
}

func (m *Member) serveMemberChange(ctx context.Context, call *wire.Call) error {
	var change operatorapi.MemberChange
	if err := call.Decode(&change); err != nil {
		return err
	}
	result, err := m.changeMember(ctx, change, true)
	if err != nil {
		return err
	}
	return call.Send(result)
}

// serveBootstrap answers the bootstrap request of a member without a log.
func (m *Member) serveBootstrap(ctx context.Context, call *wire.Call) error {
	var request bootstrapRequest
	if err := call.Decode(&request); err != nil {
		return err
	}
	answer, err := m.answerBootstrap(ctx, request.Member)
	if err != nil {
		return err
	}
	return call.Send(answer)
}

func (m *Member) answerBootstrap(ctx context.Context, requester uint64) (bootstrapAnswer, error) {
	if l := m.current.Load(); l != nil {
		return l.answerBootstrap(requester), nil
	}
	if m.bootstrapper == nil || m.config.Join {
		return bootstrapAnswer{}, port.NewError(port.NotRun, port.CodeUnavailable, "the control member is starting")
	}
	answer, err := m.bootstrapper.recordNew(requester)
	if !errors.Is(err, errBootstrapFinished) {
		return answer, err
	}
	select {
	case <-m.ready:
		return m.current.Load().answerBootstrap(requester), nil
	case <-ctx.Done():
		return bootstrapAnswer{}, ctx.Err()
	}
}

// answerBootstrap answers as a member whose group is bootstrapped.
func (l *loop) answerBootstrap(requester uint64) bootstrapAnswer {
	membership := l.published.Load().status.Membership
	return bootstrapAnswer{Bootstrapped: true, Voter: membership.IsVoter(consensus.MemberID(requester))}
}
