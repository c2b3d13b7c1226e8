package policy

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"

	"github.com/loomgrade/loomgrade/internal/port"
)

// FieldError reports an invalid field of a program's result.
type FieldError struct {
	Field   string
	Value   string
	Allowed string
}

// Error returns the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("policy plan: field %s = %s, allowed: %s", e.Field, e.Value, e.Allowed)
}

// viewValue returns the frozen argument of plan.
func viewValue(view View) starlark.Value {
	replicas := make([]starlark.Value, len(view.Replicas))
	for index, replica := range view.Replicas {
		replicas[index] = starlarkstruct.FromStringDict(starlark.String("replica"), starlark.StringDict{
			"id":      starlark.String(replica.ID),
			"zone":    starlark.String(replica.Zone),
			"version": starlark.MakeUint64(uint64(replica.Version)),
			"running": starlark.MakeInt(replica.Running),
			"limit":   starlark.MakeInt(replica.Limit),
		})
	}
	value := starlarkstruct.FromStringDict(starlark.String("pool"), starlark.StringDict{
		"name":            starlark.String(view.Name),
		"version":         starlark.MakeUint64(uint64(view.Version)),
		"staleness_bound": starlark.MakeUint64(view.StalenessBound),
		"batch_samples":   starlark.MakeInt(view.BatchSamples),
		"group_size":      starlark.MakeInt(view.GroupSize),
		"max_tokens":      starlark.MakeInt(view.MaxTokens),
		"buffer_batches":  starlark.MakeInt(view.BufferBatches),
		"in_flight":       starlark.MakeInt(view.InFlight),
		"scoring":         starlark.MakeInt(view.Scoring),
		"buffered":        starlark.MakeInt(view.Buffered),
		"capacity":        starlark.MakeInt(view.Capacity),
		"trainer_waiting": starlark.Bool(view.TrainerWaiting),
		"long_samples":    starlark.MakeInt(view.LongSamples),
		"median_tokens":   starlark.MakeInt(view.MedianTokens),
		"high_tokens":     starlark.MakeInt(view.HighTokens),
		"replicas":        starlark.NewList(replicas),
	})
	value.Freeze()
	return value
}

// readPlan converts a program's result, a struct or a dict, into a validated Plan.
func readPlan(result starlark.Value, view View) (Plan, error) {
	fields, err := resultFields(result)
	if err != nil {
		return Plan{}, err
	}
	plan := DefaultPlan(view)
	reader := planReader{fields: fields}
	reader.integer("target_in_flight", 0, MaxTargetInFlight, func(n int64) { plan.TargetInFlight = int(n) })
	reader.integer("min_version", 0, int64(view.Version), func(n int64) { plan.MinVersion = port.WeightVersion(n) })
	reader.integer("over_provision", 0, MaxOverProvision, func(n int64) { plan.OverProvision = int(n) })
	reader.integer("priority", -MaxPriorityOffset, MaxPriorityOffset, func(n int64) { plan.Priority = port.Priority(n) })
	reader.integer("long_tokens", 0, MaxTargetInFlight, func(n int64) { plan.LongTokens = int(n) })
	reader.integer("long_priority", 0, MaxPriorityOffset, func(n int64) { plan.LongPriority = port.Priority(n) })
	reader.integer("abandon_age", 0, int64(view.StalenessBound), func(n int64) { plan.AbandonAge = uint64(n) })
	reader.integer("max_versions", 0, MaxTargetInFlight, func(n int64) { plan.MaxVersions = int(n) })
	reader.choice("resume", []string{string(ResumeNever), string(ResumeFailed), string(ResumeLong)}, func(s string) { plan.Resume = Resume(s) })
	reader.choice("selection", []string{string(SelectOldest), string(SelectFreshest)}, func(s string) { plan.Selection = Selection(s) })
	reader.boolean("predict_stale", func(b bool) { plan.PredictStale = b })
	reader.names("zones", func(s string) { plan.Zones = append(plan.Zones, port.ZoneName(s)) })
	reader.names("exclude", func(s string) { plan.Exclude = append(plan.Exclude, port.ReplicaID(s)) })
	reader.rejectUnknown()
	return plan, reader.err
}

// resultFields returns the fields of a struct or dict.
func resultFields(result starlark.Value) (map[string]starlark.Value, error) {
	fields := make(map[string]starlark.Value)
	switch value := result.(type) {
	case *starlarkstruct.Struct:
		for _, name := range value.AttrNames() {
			field, err := value.Attr(name)
			if err != nil {
				return nil, fmt.Errorf("policy plan: read field %s: %w", name, err)
			}
			fields[name] = field
		}
	case *starlark.Dict:
		for _, item := range value.Items() {
			name, isString := starlark.AsString(item[0])
			if !isString {
				return nil, &FieldError{Field: item[0].String(), Value: item[1].String(), Allowed: "names of fields"}
			}
			fields[name] = item[1]
		}
	default:
		return nil, &FieldError{Field: "result", Value: result.Type(), Allowed: "a struct or dict"}
	}
	return fields, nil
}

// planReader reads fields one by one and stores the first error.
type planReader struct {
	fields map[string]starlark.Value
	err    error
}

// pop removes and returns a field; None counts as omitted.
func (r *planReader) pop(name string) starlark.Value {
	value, found := r.fields[name]
	delete(r.fields, name)
	if !found || value == starlark.None || r.err != nil {
		return nil
	}
	return value
}

func (r *planReader) reject(name string, value starlark.Value, allowed string) {
	r.err = &FieldError{Field: name, Value: shorten(value.String()), Allowed: allowed}
}

func (r *planReader) integer(name string, low, high int64, set func(int64)) {
	value := r.pop(name)
	if value == nil {
		return
	}
	number, isInt := value.(starlark.Int)
	signed, fits := int64(0), false
	if isInt {
		signed, fits = number.Int64()
	}
	if !fits || signed < low || signed > high {
		r.reject(name, value, "a whole number from "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
		return
	}
	set(signed)
}

func (r *planReader) choice(name string, allowed []string, set func(string)) {
	value := r.pop(name)
	if value == nil {
		return
	}
	text, _ := starlark.AsString(value)
	for _, candidate := range allowed {
		if text == candidate {
			set(text)
			return
		}
	}
	r.reject(name, value, strings.Join(allowed, ", "))
}

func (r *planReader) boolean(name string, set func(bool)) {
	value := r.pop(name)
	if value == nil {
		return
	}
	truth, isBool := value.(starlark.Bool)
	if !isBool {
		r.reject(name, value, "True or False")
		return
	}
	set(bool(truth))
}

func (r *planReader) names(name string, add func(string)) {
	value := r.pop(name)
	if value == nil {
		return
	}
	list, isSequence := value.(starlark.Indexable)
	if _, isText := value.(starlark.String); !isSequence || isText {
		r.reject(name, value, "a list of names")
		return
	}
	for index := range list.Len() {
		text, isString := starlark.AsString(list.Index(index))
		if !isString {
			r.reject(name, value, "a list of names")
			return
		}
		add(text)
	}
}

// rejectUnknown reports an unknown field, such as a misspelt one.
func (r *planReader) rejectUnknown() {
	if r.err != nil || len(r.fields) == 0 {
		return
	}
	unknown := make([]string, 0, len(r.fields))
	for name := range r.fields {
		unknown = append(unknown, name)
	}
	sort.Strings(unknown)
	r.reject(unknown[0], r.fields[unknown[0]], "a field of docs/operators/policies.md")
}

// shorten truncates a value for an error message.
func shorten(text string) string {
	const maxLen = 80
	if len(text) <= maxLen {
		return text
	}
	return text[:maxLen] + "..."
}
