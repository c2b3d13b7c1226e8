package audit

import (
	"fmt"
	"slices"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// minDistinctTokens is the length from which two seeds cannot produce equal texts for one
// prompt by chance.
const minDistinctTokens = 4

// trained returns the deliveries that were trained on.
func trained(o Observations) []Delivery {
	return slices.DeleteFunc(slices.Clone(o.Deliveries), func(d Delivery) bool { return !d.Trained })
}

// checkSampleOnce returns samples that were trained on twice, by id or by content.
func checkSampleOnce(o Observations) []Violation {
	type content struct{ pool, call, text string }
	type identity struct{ pool, id string }
	ids, contents := map[identity]uint64{}, map[content]string{}
	var found []Violation
	for _, delivery := range trained(o) {
		for _, sample := range delivery.Samples {
			id := identity{delivery.Pool, sample.ID}
			if earlier, again := ids[id]; again {
				detail := fmt.Sprintf("in batches %d and %d", earlier, delivery.Batch)
				found = append(found, Violation{RuleSampleOnce, sample.ID, detail})
				continue
			}
			ids[id] = delivery.Batch
			if sample.Tokens < minDistinctTokens {
				continue
			}
			same := content{delivery.Pool, sample.Call, maskVersions(sample.Text)}
			if earlier, again := contents[same]; again {
				found = append(found, Violation{RuleSampleOnce, sample.ID, "same content as " + earlier})
			}
			contents[same] = sample.ID
		}
	}
	return found
}

// maskVersions replaces the version digits of a text, so that runs of one seed under
// different weights compare equal.
func maskVersions(text string) string {
	masked := []byte(text)
	for i := 0; i < len(masked); i += engine.BytesPerToken {
		masked[i] = '.'
	}
	return string(masked)
}

// checkSampleLost returns batches and prompts that a pool's trainer never received, and
// batches that it trained on twice.
func checkSampleLost(o Observations, limits Limits) []Violation {
	batches, prompts := map[string]map[uint64]int{}, map[string]map[port.PromptIndex]bool{}
	for _, delivery := range trained(o) {
		if batches[delivery.Pool] == nil {
			batches[delivery.Pool], prompts[delivery.Pool] = map[uint64]int{}, map[port.PromptIndex]bool{}
		}
		batches[delivery.Pool][delivery.Batch]++
		for _, sample := range delivery.Samples {
			prompts[delivery.Pool][sample.Prompt] = true
		}
	}
	var found []Violation
	for pool, numbers := range batches {
		highest := uint64(0)
		for number, times := range numbers {
			highest = max(highest, number)
			if times > 1 {
				detail := fmt.Sprintf("batch %d was trained on %d times", number, times)
				found = append(found, Violation{RuleSampleOnce, pool, detail})
			}
		}
		for number := uint64(1); number < highest; number++ {
			if numbers[number] == 0 {
				found = append(found, Violation{RuleSampleLost, pool, fmt.Sprintf("batch %d never arrived", number)})
			}
		}
		found = append(found, checkPromptWindow(pool, prompts[pool], limits.PromptWindow)...)
	}
	for pool, done := range limits.FirstUndelivered {
		found = append(found, missingPrompts(pool, prompts[pool], 0, done)...)
	}
	return found
}

// checkPromptWindow returns missing prompts that are more than a window below the highest
// delivered one.
func checkPromptWindow(pool string, seen map[port.PromptIndex]bool, window uint64) []Violation {
	if window == 0 || len(seen) == 0 {
		return nil
	}
	lowest, highest := ^port.PromptIndex(0), port.PromptIndex(0)
	for prompt := range seen {
		lowest, highest = min(lowest, prompt), max(highest, prompt)
	}
	if highest < port.PromptIndex(window) {
		return nil
	}
	return missingPrompts(pool, seen, lowest, highest-port.PromptIndex(window))
}

// missingPrompts returns a violation for each missing prompt from first to before end.
func missingPrompts(pool string, seen map[port.PromptIndex]bool, first, end port.PromptIndex) []Violation {
	var found []Violation
	for prompt := first; prompt < end; prompt++ {
		if !seen[prompt] {
			found = append(found, Violation{RuleSampleLost, pool, fmt.Sprintf("prompt %d never arrived", prompt)})
		}
	}
	return found
}

// checkVersions compares the spans of every delivered sample and completion with its text
// and with the generations of engines.
func checkVersions(o Observations, index runIndex) []Violation {
	var found []Violation
	report := func(subject, detail string) {
		if detail != "" {
			found = append(found, Violation{RuleVersionsMatch, subject, detail})
		}
	}
	for _, delivery := range o.Deliveries {
		for _, sample := range delivery.Samples {
			if sample.Tokens != tokenCount(sample.Spans) {
				report(sample.ID, fmt.Sprintf("%d tokens, but spans of %d", sample.Tokens, tokenCount(sample.Spans)))
				continue
			}
			report(sample.ID, checkText(sample.Text, sample.Spans, index.generations[sample.Call]))
		}
	}
	for _, call := range o.Calls {
		if call.Outcome == OutcomeAnswered && call.Text != "" {
			report(call.Key, checkText(call.Text, call.Spans, index.generations[call.Key]))
		}
	}
	return found
}

// checkText returns what is wrong with a text and its spans, or "". The text must be
// complete, have the digits of the claimed versions, and match the engines' generations
// under these versions.
func checkText(text string, spans []port.Span, generations []Generation) string {
	if len(text) != tokenCount(spans)*engine.BytesPerToken {
		return fmt.Sprintf("text of %d bytes for spans of %d tokens", len(text), tokenCount(spans))
	}
	versions := make([]port.WeightVersion, 0, tokenCount(spans))
	for _, span := range spans {
		for range span.Tokens {
			if digit := text[len(versions)*engine.BytesPerToken]; digit != engine.VersionDigit(span.Version) {
				return fmt.Sprintf("token %d claims version %d, but its text has %q", len(versions), span.Version, digit)
			}
			versions = append(versions, span.Version)
		}
	}
	return checkContent(text, versions, generations)
}

func checkContent(text string, versions []port.WeightVersion, generations []Generation) string {
	matching := slices.DeleteFunc(slices.Clone(generations), func(g Generation) bool {
		return !engine.SameContent(text, g.Key)
	})
	if len(matching) == 0 {
		return fmt.Sprintf("no engine produced the text %q", text[:min(len(text), maxQuotedBytes)])
	}
	if !slices.ContainsFunc(matching, func(g Generation) bool { return g.TotalTokens == len(versions) }) {
		return fmt.Sprintf("%d tokens of an output of %d", len(versions), matching[0].TotalTokens)
	}
	for position, version := range versions {
		produced := func(g Generation) bool { return g.versionAt(position) == version && g.covers(position) }
		if !slices.ContainsFunc(matching, produced) {
			return fmt.Sprintf("no engine produced token %d with version %d", position, version)
		}
	}
	return ""
}

// covers reports whether the generation produced the token at a position.
func (g Generation) covers(position int) bool {
	return position >= g.FirstToken && position < g.FirstToken+tokenCount(g.Spans)
}

// versionAt returns the version of the token at a position, or 0.
func (g Generation) versionAt(position int) port.WeightVersion {
	position -= g.FirstToken
	for _, span := range g.Spans {
		if position < span.Tokens {
			return span.Version
		}
		position -= span.Tokens
	}
	return engine.UnknownVersion
}

// checkStaleness compares every delivered sample with the trainer's version at delivery.
func checkStaleness(o Observations, limits Limits) []Violation {
	var found []Violation
	for _, delivery := range o.Deliveries {
		limit, limited := limits.Staleness[delivery.Pool]
		if !limited {
			continue
		}
		for _, sample := range delivery.Samples {
			oldest := port.OldestVersion(sample.Spans)
			if oldest == engine.UnknownVersion {
				found = append(found, Violation{RuleStaleness, sample.ID, "has tokens of an unknown version"})
				continue
			}
			if age := uint64(max(delivery.countedVersion(), oldest) - oldest); age > limit {
				detail := fmt.Sprintf("age %d, limit %d, trainer at version %d", age, limit, delivery.Version)
				found = append(found, Violation{RuleStaleness, sample.ID, detail + delivery.details()})
			}
		}
	}
	return found
}

// countedVersion returns the trainer's version that the age of a delivery is counted by. It
// is the version on receipt, except for a copy that the trainer did not train on: a copy
// whose header arrived before a publication began was sent before it, with its content
// complete, and its sender cannot call it back if it is read later.
func (d *Delivery) countedVersion() port.WeightVersion {
	if d.Trained || d.HeaderVersion == 0 {
		return d.Version
	}
	return min(d.Version, d.HeaderVersion)
}

// details describes the times of a delivery, if recorded: the trainer may have published
// versions while it read the response.
func (d *Delivery) details() string {
	if d.HeaderAt == 0 {
		return ""
	}
	return fmt.Sprintf("; batch %d requested at %v, header at %v at version %d, read at %v",
		d.Batch, d.RequestedAt, d.HeaderAt, d.HeaderVersion, d.At)
}
