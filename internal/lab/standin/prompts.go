package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// PromptConfig describes a source of prompts. Prompts of one family share a prefix;
// every prompt ends in text of its own.
type PromptConfig struct {
	Seed uint64
	// Families is the number of shared prefixes. Default 8.
	Families int
	// SharedTokens and OwnTokens are the lengths of the two parts. Defaults 128 and 32.
	SharedTokens, OwnTokens int
}

const maxPromptsPerCall = 10_000

func (c *PromptConfig) applyDefaults() {
	c.Families = cmp.Or(c.Families, 8)
	c.SharedTokens = cmp.Or(c.SharedTokens, 128)
	c.OwnTokens = cmp.Or(c.OwnTokens, 32)
}

// Prompt returns the prompt at an index. It is deterministic.
func (c PromptConfig) Prompt(index port.PromptIndex) port.Prompt {
	c.applyDefaults()
	family := xxhash.Sum64String(fmt.Sprint("family ", c.Seed, index)) % uint64(c.Families)
	var text strings.Builder
	fill(&text, fmt.Sprintf("Family %d of %d. ", family, c.Seed), c.SharedTokens*engine.BytesPerToken)
	fill(&text, fmt.Sprintf("Prompt %d of %d. ", index, c.Seed), (c.SharedTokens+c.OwnTokens)*engine.BytesPerToken)
	content := text.String()
	return port.Prompt{Index: index, Text: content, Tokens: engine.CountTokens(content)}
}

// fill repeats a phrase until the text has the given length.
func fill(text *strings.Builder, phrase string, length int) {
	for text.Len() < length {
		text.WriteString(phrase[:min(len(phrase), length-text.Len())])
	}
}

// handlePrompts serves a range of prompts.
func (c PromptConfig) handlePrompts(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("from"), 10, 64)
	count, errCount := strconv.Atoi(query.Get("count"))
	if errFrom != nil || errCount != nil || count < 0 || count > maxPromptsPerCall {
		writeError(w, http.StatusBadRequest, port.InvalidField("from, count", r.URL.RawQuery, "whole numbers, count up to 10000"))
		return
	}
	answer := api.Prompts{Prompts: make([]port.Prompt, 0, count)}
	for i := range uint64(count) {
		answer.Prompts = append(answer.Prompts, c.Prompt(port.PromptIndex(from+i)))
	}
	writeJSON(w, answer)
}
