package decision

import (
	"fmt"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// timeFormat is that of the times in explanations, always UTC.
const timeFormat = "15:04:05.000"

// Explain tells the decisions about a subject in plain words, one sentence or
// two a decision, oldest first.
func Explain(subject string, decisions []port.Decision) []string {
	if len(decisions) == 0 {
		return []string{fmt.Sprintf("No decision about %s is on record here. "+
			"Records are kept for a bounded time; the oldest are dropped first.", subject)}
	}
	lines := make([]string, 0, len(decisions))
	for index := range decisions {
		lines = append(lines, explainOne(subject, &decisions[index]))
	}
	return lines
}

// explainOne tells one decision to somebody who asked about a subject. What a
// batch holds is left out for those who asked about one of its samples.
func explainOne(subject string, decision *port.Decision) string {
	when := time.UnixMilli(decision.Time).UTC().Format(timeFormat)
	text := fmt.Sprintf("%s %s %s", when, Describe(decision.Subject), action(decision))
	text += reason(decision) + "."
	for _, sentence := range sentences(decision, subject == decision.Subject) {
		text += " " + sentence + "."
	}
	return text
}

// reason tells why, or what else is known of the decision.
func reason(decision *port.Decision) string {
	switch {
	case decision.Detail == "" && decision.Kind == port.DecisionPlaced && hasHighestScore(decision):
		return " because it had the highest score"
	case decision.Detail == "":
		return ""
	case decision.Kind == port.DecisionPlaced, decision.Kind == port.DecisionHeld, decision.Kind == port.DecisionStale:
		return " because " + decision.Detail
	default:
		return ": " + decision.Detail
	}
}

// hasHighestScore says whether the replica leads the recorded scores, of which
// the first is the best.
func hasHighestScore(decision *port.Decision) bool {
	return len(decision.Scores) > 0 && decision.Scores[0].Replica == decision.Replica
}

// Describe names a subject by its kind, as far as its form tells.
func Describe(subject string) string {
	kinds := []struct{ prefix, name string }{
		{"r-", "Request"}, {"s-", "Sample"}, {"b-", "Batch"}, {"batch/", "Batch"},
		{"policy-", "Policy"}, {"replica/", "Replica"}, {"revision/", "Configuration revision"}, {"node/", "Node"},
	}
	for _, kind := range kinds {
		if rest, found := strings.CutPrefix(subject, kind.prefix); found {
			if strings.HasSuffix(kind.prefix, "/") {
				return kind.name + " " + rest
			}
			return kind.name + " " + subject
		}
	}
	return subject
}

// action tells what was decided.
func action(decision *port.Decision) string {
	replica := string(decision.Replica)
	switch decision.Kind {
	case port.DecisionPlaced:
		return "was placed on " + replica
	case port.DecisionHeld:
		return "was held"
	case port.DecisionRetried:
		return "was to be tried again" + failureOf(replica) + outcome(decision)
	case port.DecisionRefused:
		return "was refused" + outcome(decision)
	case port.DecisionAnswered:
		return "was answered" + by(replica) + outcome(decision)
	case port.DecisionEjected:
		return "was taken out of routing"
	case port.DecisionReturned:
		return "was returned to routing"
	case port.DecisionStale:
		return "was dropped as too old to deliver"
	case port.DecisionCommitted:
		return "was committed"
	case port.DecisionDelivered:
		return "was delivered"
	case port.DecisionVoided:
		return "was voided"
	case port.DecisionOrdered:
		return "was ordered" + on(replica)
	default:
		return "had decision " + string(decision.Kind)
	}
}

// outcome tells code and verdict of an answer that was an error.
func outcome(decision *port.Decision) string {
	if decision.Code == "" {
		return ""
	}
	return fmt.Sprintf(" with %s (%s)", decision.Code, verdictWords(decision.Verdict))
}

// verdictWords says what a verdict means for a caller.
func verdictWords(verdict port.Verdict) string {
	switch verdict {
	case port.NotRun:
		return "it did not run"
	case port.Ran:
		return "it ran"
	default:
		return "it may have run"
	}
}

// by and on name a replica, if there is one.
func by(replica string) string { return withReplica(" by ", replica) }
func on(replica string) string { return withReplica(" on ", replica) }

// failureOf tells which replica the earlier attempt failed on.
func failureOf(replica string) string {
	if replica == "" {
		return ""
	}
	return " after a failure on " + replica
}

// withReplica gives nothing for no replica.
func withReplica(preposition, replica string) string {
	if replica == "" {
		return ""
	}
	return preposition + replica
}

// sentences tells the circumstances of a decision.
func sentences(decision *port.Decision, withRelated bool) []string {
	var told []string
	add := func(sentence string) {
		if sentence != "" {
			told = append(told, sentence)
		}
	}
	add(considered(decision))
	add(scores(decision))
	add(spans(decision))
	if decision.Attempt > 0 {
		add(fmt.Sprintf("This was attempt %d", decision.Attempt))
	}
	if decision.Version > 0 {
		add(fmt.Sprintf("Weight version %d was meant", decision.Version))
	}
	if withRelated && len(decision.Related) > 0 {
		add("See also " + strings.Join(decision.Related, ", "))
	}
	add(origin(decision))
	return told
}

// considered tells how many replicas were looked at and which were left out.
func considered(decision *port.Decision) string {
	if decision.Considered == 0 {
		return ""
	}
	text := fmt.Sprintf("%s considered", counted(decision.Considered, "replica"))
	if len(decision.Filtered) == 0 {
		return text + ", none filtered out"
	}
	total := 0
	parts := make([]string, 0, len(decision.Filtered))
	for _, filtered := range decision.Filtered {
		total += filtered.Count
		parts = append(parts, fmt.Sprintf("%s %d", filtered.Filter, filtered.Count))
	}
	return fmt.Sprintf("%s, %d filtered out: %s", text, total, strings.Join(parts, ", "))
}

// scores tells the best few scores with the parts that made them.
func scores(decision *port.Decision) string {
	if len(decision.Scores) == 0 {
		return ""
	}
	replicas := make([]string, 0, len(decision.Scores))
	for _, score := range decision.Scores {
		replicas = append(replicas, oneScore(score))
	}
	return "Best scores: " + strings.Join(replicas, "; ")
}

// oneScore tells a replica's total and its parts.
func oneScore(score port.ReplicaScore) string {
	text := fmt.Sprintf("%s %.2f", score.Replica, score.Total)
	if len(score.Parts) == 0 {
		return text
	}
	parts := make([]string, 0, len(score.Parts))
	for _, part := range score.Parts {
		parts = append(parts, fmt.Sprintf("%s %.2f", part.Scorer, part.Value))
	}
	return fmt.Sprintf("%s (%s)", text, strings.Join(parts, ", "))
}

// spans tells which versions produced the tokens.
func spans(decision *port.Decision) string {
	if len(decision.Spans) == 0 {
		return ""
	}
	parts := make([]string, 0, len(decision.Spans))
	for _, span := range decision.Spans {
		parts = append(parts, fmt.Sprintf("%s from version %d", counted(span.Tokens, "token"), span.Version))
	}
	return "It holds " + strings.Join(parts, ", ")
}

// origin tells who decided, and under which configuration.
func origin(decision *port.Decision) string {
	if decision.Node == "" {
		return ""
	}
	text := "Decided by " + string(decision.Node)
	if decision.Revision > 0 {
		text += fmt.Sprintf(" under configuration revision %d", decision.Revision)
	}
	return text
}

// counted gives a number with its noun.
func counted(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
