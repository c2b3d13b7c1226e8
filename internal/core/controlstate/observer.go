package controlstate

import (
	"errors"

	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// ErrGap says that an update does not start where the observer stands; it must
// ask again with its own position.
var ErrGap = errors.New("update starts at another position")

// Observer follows the control state through updates of any member. Its
// position and revision never fall. It is not safe for concurrent use; the
// views it gives out are immutable.
type Observer struct {
	document *registry.Document
	weights  registry.Weights
	leases   registry.Leases
	nodes    registry.Nodes
	view     *port.View
}

// NewObserver makes an observer at position 0 with an empty view.
func NewObserver() *Observer {
	return &Observer{document: registry.NewDocument(), view: &port.View{}}
}

// View gives the present view.
func (o *Observer) View() *port.View { return o.view }

// Position gives the position to ask updates after.
func (o *Observer) Position() uint64 { return o.view.Position }

// Apply takes an update in. Advanced is false, without an error, for an update
// that is not ahead of the observer: a member that lags sent it, and even if it
// is marked as confirmed it proves nothing about a newer view.
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

// Confirms says whether an update, after Apply, shows that the observer's view
// was in force at a member in touch with a quorum.
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
