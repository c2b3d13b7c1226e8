package audit

import (
	"fmt"
	"slices"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// distinctTokens is the length from which equal texts of one prompt cannot be
// a coincidence of two seeds.
const distinctTokens = 4

// trained returns the deliveries that trainers kept.
func trained(o Observations) []Delivery {
	return slices.DeleteFunc(slices.Clone(o.Deliveries), func(d Delivery) bool { return !d.Trained })
}

// checkSampleOnce finds samples that were trained on twice, by id or by
// content.
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
			if sample.Tokens < distinctTokens {
				continue
			}
			same := content{delivery.Pool, sample.Call, withoutVersions(sample.Text)}
			if earlier, again := contents[same]; again {
				found = append(found, Violation{RuleSampleOnce, sample.ID, "same content as " + earlier})
			}
			contents[same] = sample.ID
		}
	}
	return found
}

// withoutVersions blanks the version digits of a text, so that two runs of
// one seed compare equal under different weights.
func withoutVersions(text string) string {
	blank := []byte(text)
	for i := 0; i < len(blank); i += engine.BytesPerToken {
		blank[i] = '.'
	}
	return string(blank)
}

// checkNothingLost finds gaps in the batches that a pool's trainer kept, and
// prompts that were passed over.
func checkNothingLost(o Observations, bounds Limits) []Violation {
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
		found = append(found, promptsPassedOver(pool, prompts[pool], bounds.PromptWindow)...)
	}
	for pool, done := range bounds.FirstUndelivered {
		found = append(found, missingPrompts(pool, prompts[pool], 0, done)...)
	}
	return found
}

// promptsPassedOver finds prompts that are more than a window below the highest
// delivered one and did not arrive.
func promptsPassedOver(pool string, seen map[port.PromptIndex]bool, window uint64) []Violation {
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

// missingPrompts finds prompts from first to below end that did not arrive.
func missingPrompts(pool string, seen map[port.PromptIndex]bool, first, end port.PromptIndex) []Violation {
	var found []Violation
	for prompt := first; prompt < end; prompt++ {
		if !seen[prompt] {
			found = append(found, Violation{RuleSampleLost, pool, fmt.Sprintf("prompt %d never arrived", prompt)})
		}
	}
	return found
}

// checkVersions holds the spans of every delivered sample and completion
// against its text and against what engines produced.
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
			report(sample.ID, textFault(sample.Text, sample.Spans, index.generations[sample.Call]))
		}
	}
	for _, call := range o.Calls {
		if call.Outcome == OutcomeAnswered && call.Text != "" {
			report(call.Key, textFault(call.Text, call.Spans, index.generations[call.Key]))
		}
	}
	return found
}

// textFault says what is wrong with a text and its spans, or nothing. The
// text must be whole, carry the digits of the claimed versions, and have been
// produced by the engines' generations under just these versions.
func textFault(text string, spans []port.Span, generations []Generation) string {
	if len(text) != tokenCount(spans)*engine.BytesPerToken {
		return fmt.Sprintf("text of %d bytes for spans of %d tokens", len(text), tokenCount(spans))
	}
	versions := make([]port.WeightVersion, 0, tokenCount(spans))
	for _, span := range spans {
		for range span.Tokens {
			if digit := text[len(versions)*engine.BytesPerToken]; digit != engine.VersionDigit(span.Version) {
				return fmt.Sprintf("token %d claims version %d, but its text says %q", len(versions), span.Version, digit)
			}
			versions = append(versions, span.Version)
		}
	}
	return contentFault(text, versions, generations)
}

func contentFault(text string, versions []port.WeightVersion, generations []Generation) string {
	matching := slices.DeleteFunc(slices.Clone(generations), func(g Generation) bool {
		return !engine.SameContent(text, g.Key)
	})
	if len(matching) == 0 {
		return fmt.Sprintf("no engine produced the text %q", text[:min(len(text), recordedTextLimit)])
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

// checkStaleness compares every delivered sample with the trainer's version
// on receipt.
func checkStaleness(o Observations, bounds Limits) []Violation {
	var found []Violation
	for _, delivery := range o.Deliveries {
		bound, bounded := bounds.Staleness[delivery.Pool]
		if !bounded {
			continue
		}
		for _, sample := range delivery.Samples {
			oldest := port.OldestVersion(sample.Spans)
			if oldest == engine.UnknownVersion {
				found = append(found, Violation{RuleStaleness, sample.ID, "holds tokens of an unknown version"})
				continue
			}
			if age := uint64(max(delivery.Version, oldest) - oldest); age > bound {
				detail := fmt.Sprintf("age %d, bound %d, trainer at version %d", age, bound, delivery.Version)
				found = append(found, Violation{RuleStaleness, sample.ID, detail + delivery.course()})
			}
		}
	}
	return found
}

// course tells when an answer came, as far as its trainer noted it: what it says of the
// service's knowledge depends on whether the trainer went on while it read.
func (d *Delivery) course() string {
	if d.HeadAt == 0 {
		return ""
	}
	return fmt.Sprintf("; batch %d asked for at %v, head at %v at version %d, read at %v",
		d.Batch, d.AskedAt, d.HeadAt, d.HeadVersion, d.At)
}
