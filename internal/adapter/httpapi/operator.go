package httpapi

import (
	"context"
	"net/http"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Explanation is the response to GET /v1/explain/ID.
type Explanation struct {
	Subject string `json:"subject"`
	// Text describes the decisions, oldest first.
	Text      []string        `json:"text"`
	Decisions []port.Decision `json:"decisions"`
}

// NodeStatus is the response to GET /v1/status.
type NodeStatus struct {
	Node        port.NodeID             `json:"node"`
	Ready       bool                    `json:"ready"`
	Draining    bool                    `json:"draining"`
	Unconfirmed bool                    `json:"unconfirmed"`
	Position    uint64                  `json:"position"`
	Term        uint64                  `json:"term"`
	Revision    port.Revision           `json:"revision"`
	Pools       int                     `json:"pools"`
	Replicas    int                     `json:"replicas"`
	Nodes       []port.NodeAddress      `json:"nodes"`
	Weights     []port.PublishedWeights `json:"weights"`
	// Serving counts the replicas whose home is this node.
	Serving []port.ServingCount `json:"serving"`
}

// Health is the response to GET /healthz and /readyz.
type Health struct {
	Status string `json:"status"`
}

// Values of Health.Status.
const (
	statusAlive    = "alive"
	statusReady    = "ready"
	statusNotReady = "not ready"
)

func (s *Server) explain(writer http.ResponseWriter, request *http.Request) {
	if refusal := s.authorizeOperator(request); refusal != nil {
		s.fail(writer, refusal)
		return
	}
	subject := request.PathValue("id")
	answer, failure := await(request.Context(), s, func(ctx context.Context) (Explanation, error) {
		text, decisions, err := s.backend.Explain(ctx, subject)
		return Explanation{Subject: subject, Text: text, Decisions: decisions}, err
	})
	if failure == nil && len(answer.Decisions) == 0 {
		failure = port.NewError(port.NotRun, port.CodeNotFound, "no decision recorded about %q", subject)
	}
	s.answer(writer, answer, failure)
}

func (s *Server) status(writer http.ResponseWriter, request *http.Request) {
	if refusal := s.authorizeOperator(request); refusal != nil {
		s.fail(writer, refusal)
		return
	}
	view := s.backend.View()
	s.answer(writer, NodeStatus{
		Node:        s.backend.ID(),
		Ready:       s.isReady(),
		Draining:    s.draining.Load(),
		Unconfirmed: s.backend.Unconfirmed(),
		Position:    view.Position,
		Term:        view.Term,
		Revision:    view.Revision,
		Pools:       len(view.Configuration.Pools),
		Replicas:    len(view.Configuration.Replicas),
		Nodes:       view.Nodes,
		Weights:     view.Weights,
		Serving:     s.backend.Serving(),
	}, nil)
}

// health reports that the process is running.
func (s *Server) health(writer http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(writer, http.StatusOK, Health{statusAlive})
}

// ready reports whether callers should send requests to this node.
func (s *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	if s.isReady() {
		httpserve.WriteJSON(writer, http.StatusOK, Health{statusReady})
		return
	}
	httpserve.WriteJSON(writer, http.StatusServiceUnavailable, Health{statusNotReady})
}

func (s *Server) isReady() bool { return !s.draining.Load() && s.backend.Ready() }
