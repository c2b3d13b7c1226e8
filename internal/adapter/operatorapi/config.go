package operatorapi

import (
	"errors"
	"net/http"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// silentAfterMillis is the report age above which a node counts as silent.
const silentAfterMillis = 10_000

func (s *Server) view(request *http.Request) (*port.View, error) {
	return s.config.Backend.View(request.Context(), request.URL.Query().Get(QueryLocal) == "true")
}

func (s *Server) getConfig(writer http.ResponseWriter, request *http.Request) error {
	view, err := s.view(request)
	if err != nil {
		return err
	}
	httpserve.WriteJSON(writer, http.StatusOK, configOf(view))
	return nil
}

func configOf(view *port.View) *Config {
	return &Config{Revision: view.Revision, Position: view.Position, Configuration: view.Configuration}
}

func (s *Server) putConfig(writer http.ResponseWriter, request *http.Request) error {
	var change ConfigChange
	if err := readJSON(writer, request, MaxBodyBytes, &change); err != nil {
		return err
	}
	if err := checkChange(change); err != nil {
		return err
	}
	if change.Configuration != nil {
		edits, err := s.editsTo(request, *change.ExpectedRevision, *change.Configuration)
		if err != nil {
			return s.writeChangeResult(writer, request, port.Result{}, err)
		}
		change.Edits = edits
	}
	return s.proposeEdits(writer, request, change)
}

func checkChange(change ConfigChange) error {
	if change.ExpectedRevision == nil {
		return port.InvalidField("expected_revision", "", "the revision that the change starts from")
	}
	if _, err := registry.ParseChangeID(change.ChangeID); err != nil {
		return err
	}
	if (len(change.Edits) == 0) == (change.Configuration == nil) {
		return port.InvalidField("edits", "", "exactly one of edits and configuration")
	}
	return nil
}

// editsTo returns the edits from the expected revision to a complete configuration.
func (s *Server) editsTo(request *http.Request, expected port.Revision, wanted port.Configuration) ([]port.Edit, error) {
	view, err := s.config.Backend.View(request.Context(), false)
	if err != nil {
		return nil, err
	}
	if view.Revision != expected {
		return nil, port.NewError(port.NotRun, port.CodeConflict, "the configuration is at revision %d", view.Revision)
	}
	edits := registry.DiffConfiguration(view.Configuration, wanted)
	if len(edits) == 0 {
		return nil, port.InvalidField("configuration", "the current one", "a configuration that changes something")
	}
	return edits, nil
}

// proposeEdits checks the resulting configuration and proposes the edits.
func (s *Server) proposeEdits(writer http.ResponseWriter, request *http.Request, change ConfigChange) error {
	if err := s.checkOutcome(request, change); err != nil {
		return err
	}
	result, err := s.config.Backend.Propose(request.Context(), port.Command{
		ChangeID: change.ChangeID,
		ChangeConfiguration: &port.ChangeConfiguration{
			Expected: *change.ExpectedRevision,
			Edits:    change.Edits,
			Author:   change.Author,
			Note:     change.Note,
		},
	})
	if err == nil && result.Error != nil {
		err = result.Error
	}
	return s.writeChangeResult(writer, request, result, err)
}

// checkOutcome checks the configuration that results from the edits, if this member has
// the expected revision; applying the command validates everything else.
func (s *Server) checkOutcome(request *http.Request, change ConfigChange) error {
	if s.config.CheckConfiguration == nil {
		return nil
	}
	view, err := s.config.Backend.View(request.Context(), true)
	if err != nil || view.Revision != *change.ExpectedRevision {
		return nil
	}
	outcome, err := registry.ApplyEdits(view.Configuration, change.Edits)
	if err != nil {
		return nil
	}
	return s.config.CheckConfiguration(outcome)
}

// writeChangeResult writes the result of a change; a conflict includes the current
// configuration.
func (s *Server) writeChangeResult(writer http.ResponseWriter, request *http.Request, result port.Result, err error) error {
	if err == nil {
		httpserve.WriteJSON(writer, http.StatusOK, Accepted{Revision: result.Revision, Index: result.Index})
		return nil
	}
	var refusal *port.Error
	if !errors.As(err, &refusal) || refusal.Code != port.CodeConflict {
		return err
	}
	body := ConflictBody{ErrorBody: api.ErrorBody{Error: httpserve.Detail(refusal)}}
	if view, viewErr := s.config.Backend.View(request.Context(), false); viewErr == nil {
		body.Current = configOf(view)
	}
	httpserve.WriteErrorBody(writer, refusal, body)
	return nil
}

func (s *Server) getHistory(writer http.ResponseWriter, request *http.Request) error {
	changes, err := s.config.Backend.History(request.Context())
	if err != nil {
		return err
	}
	httpserve.WriteJSON(writer, http.StatusOK, ConfigHistory{Changes: changes})
	return nil
}

func (s *Server) getConfigStatus(writer http.ResponseWriter, request *http.Request) error {
	view, err := s.view(request)
	if err != nil {
		return err
	}
	reports, err := s.config.Backend.Reports(request.Context())
	if err != nil {
		return err
	}
	httpserve.WriteJSON(writer, http.StatusOK, configStatus(view, reports))
	return nil
}

// configStatus returns the state of the revision at each registered node.
func configStatus(view *port.View, reports Reports) ConfigStatus {
	byNode := make(map[port.NodeID]NodeReport, len(reports.Nodes))
	for _, report := range reports.Nodes {
		byNode[report.Report.Node.ID] = report
	}
	status := ConfigStatus{
		Revision:           view.Revision,
		Nodes:              make([]NodeConfig, 0, len(view.Nodes)),
		UnreachableMembers: reports.Unreachable,
	}
	for _, node := range view.Nodes {
		line := NodeConfig{Node: node.ID, Zone: node.Zone, State: StateSilent, ReportAgeMillis: -1}
		if report, reported := byNode[node.ID]; reported {
			line.Revision, line.Since = report.Report.Revision, report.RevisionSince
			line.ReportAgeMillis = report.AgeMillis
			line.State = nodeState(report, view.Revision)
		}
		status.count(line.State)
		status.Nodes = append(status.Nodes, line)
	}
	return status
}

func nodeState(report NodeReport, revision port.Revision) string {
	switch {
	case report.AgeMillis > silentAfterMillis:
		return StateSilent
	case report.Report.Revision < revision:
		return StateBehind
	}
	return StateInForce
}

func (s *ConfigStatus) count(state string) {
	switch state {
	case StateInForce:
		s.InForce++
	case StateBehind:
		s.Behind++
	default:
		s.Silent++
	}
}
