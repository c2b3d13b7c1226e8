package control

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// register sets the handlers of the internal protocol.
func (m *Member) register() {
	m.server.HandleMessage(methodConsensus, m.takeMessage)
	m.server.Handle(methodFounding, m.serveFounding)
	for method, handler := range map[string]wire.Handler{
		controlclient.MethodPropose: m.serveProposal(false),
		methodForward:               m.serveProposal(true),
		controlclient.MethodWatch:   m.serveWatch,
		controlclient.MethodReport:  m.serveReport,
		methodReports:               m.serveReports,
		methodReadIndex:             m.serveReadIndex,
		methodChangeMember:          m.serveMemberChange,
	} {
		m.server.Handle(method, m.whenStarted(handler))
	}
}

// whenStarted refuses calls as not run before the member takes part.
func (m *Member) whenStarted(handler wire.Handler) wire.Handler {
	return func(ctx context.Context, call *wire.Call) error {
		if err := m.started(); err != nil {
			return err
		}
		return handler(ctx, call)
	}
}

// takeMessage queues a consensus message; one that finds no room is lost.
func (m *Member) takeMessage(_ context.Context, call *wire.Call) {
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

func (m *Member) serveReport(_ context.Context, call *wire.Call) error {
	var report port.NodeReport
	if err := call.Decode(&report); err != nil {
		return err
	}
	return m.reports.add(report, time.Now())
}

func (m *Member) serveReports(_ context.Context, call *wire.Call) error {
	return call.Send(reportsAnswer{Nodes: m.reports.list(time.Now())})
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

// serveFounding answers a member without a log.
func (m *Member) serveFounding(_ context.Context, call *wire.Call) error {
	var request foundingRequest
	if err := call.Decode(&request); err != nil {
		return err
	}
	answer, err := m.answerFounding(request.Member)
	if err != nil {
		return err
	}
	return call.Send(answer)
}

func (m *Member) answerFounding(asker uint64) (foundingAnswer, error) {
	l := m.current.Load()
	if l != nil {
		membership := l.published.Load().status.Membership
		return foundingAnswer{Founded: true, Voter: membership.IsVoter(consensus.MemberID(asker))}, nil
	}
	if m.founding == nil || m.config.Join {
		return foundingAnswer{}, port.NewError(port.NotRun, port.CodeUnavailable, "the control member is starting")
	}
	return m.founding.answer(asker)
}
