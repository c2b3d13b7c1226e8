package engine

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Report converts the load to the form of the engine protocol. If several versions of the
// same weights are staged or loading, it reports the newest.
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
		version := versionsOf(&report, staged.Adapter).staged
		*version = max(*version, staged.Version)
	}
	for _, staging := range l.Staging {
		version := versionsOf(&report, staging.Adapter).staging
		*version = max(*version, staging.Version)
	}
	return report
}

// versions points to the fields of a report for staged versions and those being staged.
type versions struct{ staged, staging *port.WeightVersion }

// versionsOf returns the fields for the base model or an adapter. It adds the adapter if
// the report doesn't contain it.
func versionsOf(report *port.LoadReport, adapter string) versions {
	if adapter == "" {
		return versions{&report.Staged, &report.Staging}
	}
	index := slices.IndexFunc(report.Adapters, func(a port.AdapterVersion) bool { return a.Name == adapter })
	if index < 0 {
		index = len(report.Adapters)
		report.Adapters = append(report.Adapters, port.AdapterVersion{Name: adapter})
	}
	return versions{&report.Adapters[index].Staged, &report.Adapters[index].Staging}
}

// OrderFrom converts an order from the form of the engine protocol.
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
