package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// defaultView names the standard view that --set modifies by default.
const defaultView = "running"

// readView reads a view from a JSON file. It rejects unknown fields.
func readView(path string) (policy.View, error) {
	var view policy.View
	content, err := os.ReadFile(path)
	if err != nil {
		return view, err
	}
	if err := decodeStrict(content, &view); err != nil {
		return view, fmt.Errorf("%s:%d: %w, allowed: the fields of a policy program's argument", path, lineAt(content, err), err)
	}
	return view, nil
}

// lineAt returns the line of a JSON error or of the unknown field that it names, or 1 if
// the error has neither.
func lineAt(content []byte, err error) int {
	offset := 0
	switch jsonErr := err.(type) {
	case *json.SyntaxError:
		offset = int(jsonErr.Offset)
	case *json.UnmarshalTypeError:
		offset = int(jsonErr.Offset)
	default:
		if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
			offset = max(bytes.Index(content, []byte(name)), 0)
		}
	}
	return 1 + bytes.Count(content[:min(offset, len(content))], []byte{'\n'})
}

// changeView sets fields of a view. Values are JSON; strings may be unquoted.
func changeView(view *policy.View, fields map[string]string) error {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value := json.RawMessage(fields[name])
		if name == "name" || !json.Valid(value) {
			value, _ = json.Marshal(fields[name]) // text is always encodable
		}
		change, err := json.Marshal(map[string]json.RawMessage{name: value})
		if err != nil {
			return err
		}
		if err := decodeStrict(change, view); err != nil {
			return fmt.Errorf("--set %s = %q is not allowed, allowed: fields of the view with values of their type (%w)", name, fields[name], err)
		}
	}
	return nil
}

// simulation is a program's plan for one view.
type simulation struct {
	View     string             `json:"view"`
	Version  port.WeightVersion `json:"version"`
	InFlight int                `json:"in_flight"`
	Buffered int                `json:"buffered"`
	Steps    uint64             `json:"steps"`
	Error    string             `json:"error,omitempty"`
	Plan     *policy.Plan       `json:"plan,omitempty"`
}

func newSimulation(trial policy.Trial) simulation {
	result := simulation{
		View: trial.Name, Version: trial.View.Version, InFlight: trial.View.InFlight,
		Buffered: trial.View.Buffered, Steps: trial.Steps,
	}
	if trial.Err != nil {
		result.Error = trial.Err.Error()
		return result
	}
	plan := trial.Plan
	result.Plan = &plan
	return result
}

func showSimulations(lines *table, simulations []simulation) {
	lines.row("VIEW", "VERSION", "IN FLIGHT", "BUFFERED", "TARGET", "MIN VERSION", "EXTRA", "LONG FROM", "RESUME", "SELECTION", "ZONES", "EXCLUDED", "STEPS")
	for _, result := range simulations {
		if result.Plan == nil {
			lines.row(result.View, result.Version, result.InFlight, result.Buffered, "error: "+result.Error)
			continue
		}
		plan := result.Plan
		lines.row(result.View, result.Version, result.InFlight, result.Buffered,
			plan.TargetInFlight, plan.MinVersion, plan.OverProvision, plan.LongTokens, plan.Resume, plan.Selection,
			zoneNames(plan.Zones), len(plan.Exclude), result.Steps)
	}
}

func zoneNames(zones []port.ZoneName) string {
	if len(zones) == 0 {
		return "all"
	}
	names := make([]string, len(zones))
	for index, zone := range zones {
		names[index] = string(zone)
	}
	return strings.Join(names, ",")
}
