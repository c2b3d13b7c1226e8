package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Rule names a promise.
type Rule string

// The rules that Check applies.
const (
	RuleCompleteAnswer Rule = "whole answer to its own request"
	RuleUnsafeOnce     Rule = "unsafe request runs at most once"
	RuleNotRun         Rule = "not run means not run"
	RuleSampleOnce     Rule = "each sample once"
	RuleSampleLost     Rule = "no batch or prompt is left out"
	RuleVersionsMatch  Rule = "versions are true"
	RuleStaleness      Rule = "no sample older than its bound"
	RuleDeparture      Rule = "no new work on a leaving back end"
	RulePlannedStop    Rule = "a planned stop cuts nothing off"
	defaultDeparture        = 3 * time.Second
	recordedTextLimit       = 24
)

// Violation is one broken promise.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// String returns the violation in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Bounds are the configured limits of a run.
type Limits struct {
	// Staleness is the largest age of a sample in versions, by pool. Pools
	// that are not listed are not checked.
	Staleness map[string]uint64
	// DepartureGrace is how long a leaving back end may still get new work;
	// default 3 s.
	DepartureGrace time.Duration
	// PromptWindow is how far below the highest delivered prompt of a pool a
	// prompt may still be missing; 0 turns the check off.
	PromptWindow uint64
	// PromptsDone is, by pool, the lowest prompt that loomgrade does not hold for
	// delivered: all below must have reached the trainer. Unlike a window it
	// holds however long a prompt takes.
	FirstUndelivered map[string]port.PromptIndex
}

// Check returns every violation, ordered by rule and subject.
func Check(o Observations, bounds Limits) []Violation {
	if bounds.DepartureGrace == 0 {
		bounds.DepartureGrace = defaultDeparture
	}
	index := newIndex(o)
	var found []Violation
	found = append(found, checkWholeAnswers(o, index)...)
	found = append(found, checkUnsafeOnce(o, index)...)
	found = append(found, checkNotRun(o, index)...)
	found = append(found, checkSampleOnce(o)...)
	found = append(found, checkNothingLost(o, bounds)...)
	found = append(found, checkVersions(o, index)...)
	found = append(found, checkStaleness(o, bounds)...)
	found = append(found, checkDepartures(o, bounds)...)
	found = append(found, checkPlannedStops(o)...)
	slices.SortFunc(found, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Detail, b.Detail))
	})
	return found
}

// runIndex finds the runs of a call by its key.
type runIndex struct {
	executions  map[string]int          // by call
	starts      map[string]int          // generations from position 0, by call
	generations map[string][]Generation // by call
}

func newIndex(o Observations) runIndex {
	index := runIndex{
		executions: map[string]int{}, starts: map[string]int{}, generations: map[string][]Generation{},
	}
	for _, execution := range o.Executions {
		index.executions[execution.Call]++
	}
	for _, generation := range o.Generations {
		index.generations[generation.Call] = append(index.generations[generation.Call], generation)
		if generation.FirstToken == 0 {
			index.starts[generation.Call]++
		}
	}
	return index
}

// runs returns how often a call was run from its beginning.
func (i runIndex) runs(call string) int { return i.executions[call] + i.starts[call] }

func checkWholeAnswers(o Observations, index runIndex) []Violation {
	var found []Violation
	report := func(call Call, format string, arguments ...any) {
		found = append(found, Violation{RuleCompleteAnswer, call.Key, fmt.Sprintf(format, arguments...)})
	}
	for _, call := range o.Calls {
		switch {
		case call.Outcome != OutcomeAnswered:
		case call.AnswerKey != call.Key:
			report(call, "caller of class %s got the answer to %q%s", call.Class, call.AnswerKey, call.course())
		case !call.Complete:
			report(call, "caller of class %s got only part of the answer", call.Class)
		case index.runs(call.Key) == 0:
			report(call, "answered, but no back end ran it%s", call.course())
		}
	}
	return found
}

// course tells how an answer came that is not the right one.
func (c *Call) course() string {
	return fmt.Sprintf("; from %s, begun %v before it ended, %d bytes of text, spans %v, %q",
		c.Target, c.EndedAt-c.StartedAt, len(c.Text), c.Spans, c.Detail)
}

func checkUnsafeOnce(o Observations, index runIndex) []Violation {
	var found []Violation
	seen := map[string]bool{}
	for _, call := range o.Calls {
		if !call.Unsafe || seen[call.Key] {
			continue
		}
		seen[call.Key] = true
		if runs := index.runs(call.Key); runs > 1 {
			found = append(found, Violation{RuleUnsafeOnce, call.Key, fmt.Sprintf("ran %d times", runs)})
		}
	}
	return found
}

// checkNotRun finds calls that ran although every attempt was told that it
// did not.
func checkNotRun(o Observations, index runIndex) []Violation {
	explained := map[string]bool{}
	for _, call := range o.Calls {
		if call.Outcome != OutcomeNotRun {
			explained[call.Key] = true
		}
	}
	var found []Violation
	seen := map[string]bool{}
	for _, call := range o.Calls {
		if explained[call.Key] || seen[call.Key] {
			continue
		}
		seen[call.Key] = true
		if runs := index.runs(call.Key); runs > 0 {
			found = append(found, Violation{RuleNotRun, call.Key, fmt.Sprintf("ran %d times", runs)})
		}
	}
	return found
}

// route is a back end with the zone that its requests come from.
type route struct {
	backEnd, from string
}

// checkDepartures finds work that began on a back end later than the grace after
// its departure was signalled to the zone of the sender.
func checkDepartures(o Observations, bounds Limits) []Violation {
	limit := map[route]time.Duration{}
	for _, departure := range o.Departures {
		way := route{departure.BackEnd, departure.From}
		last := departure.SignalledAt + bounds.DepartureGrace
		if earlier, known := limit[way]; !known || last < earlier {
			limit[way] = last
		}
	}
	var found []Violation
	check := func(way route, id string, startedAt time.Duration) {
		last, leaving := limit[way]
		if all, known := limit[route{backEnd: way.backEnd}]; known && (!leaving || all < last) {
			last, leaving = all, true
		}
		if leaving && startedAt > last {
			detail := fmt.Sprintf("request %s started %v after the limit", id, startedAt-last)
			found = append(found, Violation{RuleDeparture, way.backEnd, detail})
		}
	}
	for _, generation := range o.Generations {
		check(route{generation.Engine, generation.From}, generation.RequestID, generation.StartedAt)
	}
	for _, execution := range o.Executions {
		check(route{execution.BackEnd, execution.From}, execution.RequestID, execution.StartedAt)
	}
	return found
}

// checkPlannedStops finds calls and work that a planned stop ended. A failure
// that overlaps a fault is not blamed on the stop.
func checkPlannedStops(o Observations) []Violation {
	var found []Violation
	for _, stop := range o.PlannedStops {
		report := func(id string, detail string) {
			found = append(found, Violation{RulePlannedStop, stop.Process, fmt.Sprintf("%s %s", id, detail)})
		}
		for _, call := range o.Calls {
			failed := call.Outcome == OutcomeLost || call.Outcome == OutcomeMayHaveRun
			if failed && overlaps(call.StartedAt, call.EndedAt, stop.From, stop.To) &&
				!disturbed(o.Faults, call.StartedAt, call.EndedAt) {
				report(call.Key, fmt.Sprintf("failed during the stop, which took %v, %v after its beginning: %s%s",
					stop.To-stop.From, call.StartedAt-stop.From, call.Outcome, call.course()))
			}
		}
		for _, generation := range o.Generations {
			if generation.Engine == stop.Process && cutBy(generation.End, generation.EndedAt, stop) {
				report(generation.RequestID, "was cut off")
			}
		}
		for _, execution := range o.Executions {
			if execution.BackEnd == stop.Process && cutBy(execution.End, execution.EndedAt, stop) {
				report(execution.RequestID, "was cut off")
			}
		}
	}
	return found
}

func cutBy(end End, endedAt time.Duration, stop PlannedStop) bool {
	return (end == EndCut || end == EndCrashed) && endedAt >= stop.From && endedAt <= stop.To
}

func overlaps(from, to, otherFrom, otherTo time.Duration) bool {
	return from <= otherTo && to >= otherFrom
}

func disturbed(faults []Fault, from, to time.Duration) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return overlaps(from, to, f.From, f.To) })
}

// tokenCount returns the tokens of all spans.
func tokenCount(spans []port.Span) int {
	total := 0
	for _, span := range spans {
		total += span.Tokens
	}
	return total
}
