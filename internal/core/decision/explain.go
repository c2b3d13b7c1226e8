package decision

import (
	"fmt"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// timeFormat is the format of times in explanations, in UTC.
const timeFormat = "15:04:05.000"

// Explain formats the decisions about a subject, one or two sentences per decision,
// oldest first.
func Explain(subject string, decisions []port.Decision) []string {
	if len(decisions) == 0 {
		return []string{fmt.Sprintf("No decision about %s is recorded here. "+
			"Records are kept in bounded memory; the oldest are dropped first.", subject)}
	}
	lines := make([]string, 0, len(decisions))
	for index := range decisions {
		lines = append(lines, explainOne(subject, &decisions[index]))
	}
	return lines
}

// explainOne formats one decision. It omits the related ids if the decision is about a
// batch that contains the subject.
func explainOne(subject string, decision *port.Decision) string {
	when := time.UnixMilli(decision.Time).UTC().Format(timeFormat)
	text := fmt.Sprintf("%s %s %s", when, Describe(decision.Subject), action(decision))
	text += reason(decision) + "."
	for _, sentence := range sentences(decision, subject == decision.Subject) {
		text += " " + sentence + "."
	}
	return text
}

// reason formats the decision's detail.
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

// hasHighestScore reports whether the replica is the first, and so the best, of the
// recorded scores.
func hasHighestScore(decision *port.Decision) bool {
	return len(decision.Scores) > 0 && decision.Scores[0].Replica == decision.Replica
}

// Describe returns a subject preceded by its kind, which it derives from the prefix.
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

// action formats the kind of the decision.
func action(decision *port.Decision) string {
	replica := string(decision.Replica)
	switch decision.Kind {
	case port.DecisionPlaced:
		return "was placed on " + replica
	case port.DecisionHeld:
		return "was held"
	case port.DecisionRetried:
		return "was retried" + failureOf(replica) + outcome(decision)
	case port.DecisionRefused:
		return "was refused" + outcome(decision)
	case port.DecisionAnswered:
		return "was answered" + by(replica) + outcome(decision)
	case port.DecisionEjected:
		return "was ejected from routing"
	case port.DecisionReturned:
		return "was returned to routing"
	case port.DecisionStale:
		return "was dropped as stale"
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

// outcome formats the code and verdict of an error.
func outcome(decision *port.Decision) string {
	if decision.Code == "" {
		return ""
	}
	return fmt.Sprintf(" with %s (%s)", decision.Code, verdictWords(decision.Verdict))
}

// verdictWords describes a verdict.
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

// by and on return a phrase with the replica, or "" if replica is empty.
func by(replica string) string { return withReplica(" by ", replica) }
func on(replica string) string { return withReplica(" on ", replica) }

// failureOf returns a phrase with the replica of the failed attempt, or "" if replica is
// empty.
func failureOf(replica string) string {
	if replica == "" {
		return ""
	}
	return " after a failure on " + replica
}

// withReplica appends the replica to the preposition, or returns "" if replica is empty.
func withReplica(preposition, replica string) string {
	if replica == "" {
		return ""
	}
	return preposition + replica
}

// sentences returns the sentences that follow the reason of a decision.
func sentences(decision *port.Decision, withRelated bool) []string {
	var parts []string
	add := func(sentence string) {
		if sentence != "" {
			parts = append(parts, sentence)
		}
	}
	add(considered(decision))
	add(scores(decision))
	add(spans(decision))
	if decision.Attempt > 0 {
		add(fmt.Sprintf("This was attempt %d", decision.Attempt))
	}
	if decision.Version > 0 {
		add(fmt.Sprintf("Weight version: %d", decision.Version))
	}
	if withRelated && len(decision.Related) > 0 {
		add("See also " + strings.Join(decision.Related, ", "))
	}
	add(origin(decision))
	return parts
}

// considered formats the number of candidates and the filter counts.
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

// scores formats the best scores with their parts.
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

// oneScore formats a replica's score with its parts.
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

// spans formats the weight versions that produced the tokens.
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

// origin formats the deciding node and its configuration revision.
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

// counted formats a count and its noun, in the plural unless count is 1.
func counted(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
