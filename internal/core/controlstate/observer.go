package controlstate

import (
	"errors"

	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// ErrGap is returned for an update that does not start at the observer's position.
// The caller must request one from that position.
var ErrGap = errors.New("update does not start at the observer's position")

// Observer follows the control state through the updates of any member. Its position
// and revision never decrease. It is not safe for concurrent use; its views are
// immutable.
type Observer struct {
	document *registry.Document
	weights  registry.Weights
	leases   registry.Leases
	nodes    registry.Nodes
	view     *port.View
}

// NewObserver returns an observer at position 0 with an empty view.
func NewObserver() *Observer {
	return &Observer{document: registry.NewDocument(), view: &port.View{}}
}

// View returns the current view.
func (o *Observer) View() *port.View { return o.view }

// Position returns the position from which to request the next update.
func (o *Observer) Position() uint64 { return o.view.Position }

// Apply applies an update. It reports false, without an error, if the update is not
// newer than the observer's view: the sender lags, and its Confirmed flag does not apply
// to the newer view.
func (o *Observer) Apply(update port.ViewUpdate) (advanced bool, err error) {
	if update.Position <= o.view.Position || update.Revision < o.view.Revision {
		return false, nil
	}
	if update.Full != nil {
		o.load(update.Full)
		return true, nil
	}
	if update.After != o.view.Position {
		return false, ErrGap
	}
	for _, change := range update.Changes {
		o.replay(change)
	}
	o.view = &port.View{
		Position: update.Position, Term: update.Term, Revision: update.Revision,
		Configuration: o.document.Configuration(),
		Weights:       o.weights.List(), Leases: o.leases.List(), Nodes: o.nodes.List(),
	}
	return true, nil
}

// Confirms reports whether an update that was passed to Apply proves that a member in
// contact with a quorum had the observer's view.
func (o *Observer) Confirms(update port.ViewUpdate) bool {
	return update.Confirmed && update.Position >= o.view.Position
}

func (o *Observer) load(view *port.View) {
	o.document = registry.LoadDocument(view.Configuration)
	o.weights.Import(view.Weights)
	o.leases.Import(view.Leases)
	o.nodes.Import(view.Nodes)
	o.view = view
}

func (o *Observer) replay(change port.ViewChange) {
	switch {
	case change.Edit != nil:
		o.document.Replay(*change.Edit)
		if change.Edit.RemovePool != "" {
			o.weights.Remove(change.Edit.RemovePool)
		}
	case change.Weights != nil:
		o.weights.Put(*change.Weights)
	case change.Lease != nil:
		o.leases.Put(*change.Lease)
	case change.LeaseRemoved != "":
		o.leases.Drop(change.LeaseRemoved)
	case change.Node != nil:
		o.nodes.Put(*change.Node)
	case change.NodeRemoved != "":
		o.nodes.Remove(change.NodeRemoved)
	}
}
