package engine

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Report gives the load in the form that engines answer in. Of several staged
// versions of a name the newest shows.
func (l Load) Report() port.LoadReport {
	report := port.LoadReport{
		Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, KVTotal: l.KVTotal,
		Version: l.Weights.Version, Role: port.EngineRole(l.Role.String()),
		Fence: port.Epoch(l.Fence), Incarnation: l.Incarnation,
	}
	names := make([]string, 0, len(l.Adapters))
	for name := range l.Adapters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		report.Adapters = append(report.Adapters, port.AdapterVersion{Name: name, Version: l.Adapters[name]})
	}
	for _, staged := range l.Staged {
		addStaged(&report, staged)
	}
	return report
}

// addStaged notes staged weights; the newest of a name shows.
func addStaged(report *port.LoadReport, staged Weights) {
	if staged.Adapter == "" {
		report.Staged = max(report.Staged, staged.Version)
		return
	}
	for i := range report.Adapters {
		if report.Adapters[i].Name == staged.Adapter {
			report.Adapters[i].Staged = max(report.Adapters[i].Staged, staged.Version)
			return
		}
	}
	report.Adapters = append(report.Adapters, port.AdapterVersion{Name: staged.Adapter, Staged: staged.Version})
}

// OrderFrom translates an order from the form that engines are sent.
func OrderFrom(body port.Order) (Order, *port.Error) {
	order := Order{
		Fence:   uint64(body.Fence),
		Weights: Weights{Adapter: body.Adapter, Version: body.Version},
	}
	switch body.Kind {
	case port.OrderStage:
		order.Kind = OrderStage
	case port.OrderActivate:
		order.Kind = OrderActivate
	case port.OrderLoadAdapter:
		order.Kind = OrderLoadAdapter
	case port.OrderSetRole:
		order.Kind = OrderSetRole
	default:
		return order, port.InvalidField("kind", string(body.Kind), "stage, activate, load_adapter, set_role")
	}
	switch body.Role {
	case port.RolePrefill:
		order.Role = RolePrefill
	case port.RoleDecode:
		order.Role = RoleDecode
	}
	return order, nil
}
