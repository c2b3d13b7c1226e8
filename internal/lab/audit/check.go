package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Rule identifies a guarantee that Check verifies.
type Rule string

// The rules that Check applies.
const (
	RuleCompleteAnswer    Rule = "whole answer to its own request"
	RuleUnsafeOnce        Rule = "unsafe request runs at most once"
	RuleNotRun            Rule = "not run means not run"
	RuleSampleOnce        Rule = "each sample once"
	RuleSampleLost        Rule = "no batch or prompt is left out"
	RuleVersionsMatch     Rule = "versions are true"
	RuleStaleness         Rule = "no sample older than its bound"
	RuleDeparture         Rule = "no new work on a leaving back end"
	RuleGracefulStop      Rule = "a planned stop cuts nothing off"
	defaultDepartureGrace      = 3 * time.Second
	maxQuotedBytes             = 24
)

// Violation is one violated guarantee.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Limits are the configured limits of a run.
type Limits struct {
	// Staleness is the maximum age of a sample in versions, by pool. Other pools are
	// not checked.
	Staleness map[string]uint64
	// DepartureGrace is how long a leaving back end may still receive new work.
	// Default 3 s.
	DepartureGrace time.Duration
	// PromptWindow is how far below a pool's highest delivered prompt a prompt may
	// still be missing; 0 disables the check.
	PromptWindow uint64
	// FirstUndelivered is, by pool, the first prompt that loomgrade does not report as
	// delivered. All prompts below it must have reached the trainer.
	FirstUndelivered map[string]port.PromptIndex
}

// Check returns all violations, sorted by rule, subject and detail.
func Check(o Observations, limits Limits) []Violation {
	if limits.DepartureGrace == 0 {
		limits.DepartureGrace = defaultDepartureGrace
	}
	index := newRunIndex(o)
	var found []Violation
	found = append(found, checkAnswers(o, index)...)
	found = append(found, checkUnsafeOnce(o, index)...)
	found = append(found, checkNotRun(o, index)...)
	found = append(found, checkSampleOnce(o)...)
	found = append(found, checkSampleLost(o, limits)...)
	found = append(found, checkVersions(o, index)...)
	found = append(found, checkStaleness(o, limits)...)
	found = append(found, checkDepartures(o, limits)...)
	found = append(found, checkPlannedStops(o)...)
	slices.SortFunc(found, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Detail, b.Detail))
	})
	return found
}

// runIndex holds the runs of each call.
type runIndex struct {
	executions  map[string]int          // by call
	firstRuns   map[string]int          // generations from position 0, by call
	generations map[string][]Generation // by call
}

func newRunIndex(o Observations) runIndex {
	index := runIndex{
		executions: map[string]int{}, firstRuns: map[string]int{}, generations: map[string][]Generation{},
	}
	for _, execution := range o.Executions {
		index.executions[execution.Call]++
	}
	for _, generation := range o.Generations {
		index.generations[generation.Call] = append(index.generations[generation.Call], generation)
		if generation.FirstToken == 0 {
			index.firstRuns[generation.Call]++
		}
	}
	return index
}

// runs returns how often a call was run from its start.
func (i runIndex) runs(call string) int { return i.executions[call] + i.firstRuns[call] }

func checkAnswers(o Observations, index runIndex) []Violation {
	var found []Violation
	report := func(call Call, format string, arguments ...any) {
		found = append(found, Violation{RuleCompleteAnswer, call.Key, fmt.Sprintf(format, arguments...)})
	}
	for _, call := range o.Calls {
		switch {
		case call.Outcome != OutcomeAnswered:
		case call.AnswerKey != call.Key:
			report(call, "caller of class %s got the answer to %q%s", call.Class, call.AnswerKey, call.details())
		case !call.Complete:
			report(call, "caller of class %s got only part of the answer", call.Class)
		case index.runs(call.Key) == 0:
			report(call, "answered, but no back end ran it%s", call.details())
		}
	}
	return found
}

// details describes a call for the detail of a violation.
func (c *Call) details() string {
	return fmt.Sprintf("; from %s, took %v, %d bytes of text, spans %v, %q",
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

// checkNotRun returns calls that ran although every attempt was reported as not run.
func checkNotRun(o Observations, index runIndex) []Violation {
	mayHaveRun := map[string]bool{}
	for _, call := range o.Calls {
		if call.Outcome != OutcomeNotRun {
			mayHaveRun[call.Key] = true
		}
	}
	var found []Violation
	seen := map[string]bool{}
	for _, call := range o.Calls {
		if mayHaveRun[call.Key] || seen[call.Key] {
			continue
		}
		seen[call.Key] = true
		if runs := index.runs(call.Key); runs > 0 {
			found = append(found, Violation{RuleNotRun, call.Key, fmt.Sprintf("ran %d times", runs)})
		}
	}
	return found
}

// route is a back end and the zone that sends requests to it.
type route struct {
	backEnd, zone string
}

// checkDepartures returns work that started on a back end after the grace period of its
// departure. The period starts when the sender's zone receives the departure.
func checkDepartures(o Observations, limits Limits) []Violation {
	deadlines := map[route]time.Duration{}
	for _, departure := range o.Departures {
		key := route{departure.BackEnd, departure.From}
		last := departure.SignalledAt + limits.DepartureGrace
		if earlier, exists := deadlines[key]; !exists || last < earlier {
			deadlines[key] = last
		}
	}
	var found []Violation
	check := func(key route, id string, startedAt time.Duration) {
		last, leaving := deadlines[key]
		if all, exists := deadlines[route{backEnd: key.backEnd}]; exists && (!leaving || all < last) {
			last, leaving = all, true
		}
		if leaving && startedAt > last {
			detail := fmt.Sprintf("request %s started %v after the limit", id, startedAt-last)
			found = append(found, Violation{RuleDeparture, key.backEnd, detail})
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

// checkPlannedStops returns calls and work that a planned stop interrupted. Calls that
// overlap a fault are ignored.
func checkPlannedStops(o Observations) []Violation {
	var found []Violation
	for _, stop := range o.GracefulStops {
		report := func(id string, detail string) {
			found = append(found, Violation{RuleGracefulStop, stop.Process, fmt.Sprintf("%s %s", id, detail)})
		}
		for _, call := range o.Calls {
			failed := call.Outcome == OutcomeLost || call.Outcome == OutcomeMayHaveRun
			if failed && overlaps(call.StartedAt, call.EndedAt, stop.From, stop.To) &&
				!overlapsFault(o.Faults, call.StartedAt, call.EndedAt) {
				report(call.Key, fmt.Sprintf("failed during the stop, which took %v, %v after its start: %s%s",
					stop.To-stop.From, call.StartedAt-stop.From, call.Outcome, call.details()))
			}
		}
		for _, generation := range o.Generations {
			if generation.Engine == stop.Process && cutDuring(generation.End, generation.EndedAt, stop) {
				report(generation.RequestID, "was cut off")
			}
		}
		for _, execution := range o.Executions {
			if execution.BackEnd == stop.Process && cutDuring(execution.End, execution.EndedAt, stop) {
				report(execution.RequestID, "was cut off")
			}
		}
	}
	return found
}

func cutDuring(end End, endedAt time.Duration, stop GracefulStop) bool {
	return (end == EndCut || end == EndCrashed) && endedAt >= stop.From && endedAt <= stop.To
}

func overlaps(from, to, otherFrom, otherTo time.Duration) bool {
	return from <= otherTo && to >= otherFrom
}

func overlapsFault(faults []Fault, from, to time.Duration) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return overlaps(from, to, f.From, f.To) })
}

// tokenCount returns the number of tokens in all spans.
func tokenCount(spans []port.Span) int {
	total := 0
	for _, span := range spans {
		total += span.Tokens
	}
	return total
}
