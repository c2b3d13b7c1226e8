package audit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Entry is one line of a journal, the file that makes the observations of a killed
// stand-in available to the audit. A generation or an execution is written when it starts
// and again, with the same Work, when it ends; the later line replaces the earlier one.
// Tokens lines may come in between.
type Entry struct {
	Observations
	Tokens *WorkTokens `json:"tokens,omitempty"`
}

// WorkTokens are tokens that a generation in progress produced.
type WorkTokens struct {
	Work    string             `json:"work"`
	Version port.WeightVersion `json:"version"`
	Count   int                `json:"count"`
}

// errUnknownWork is returned for tokens of a generation whose start is missing.
var errUnknownWork = errors.New("journal: tokens of unknown work")

// ReadJournal returns the observations in a journal. It ignores an incomplete last line,
// which a killed stand-in leaves.
func ReadJournal(journal io.Reader) (Observations, error) {
	reader := journalReader{generations: map[string]int{}, executions: map[string]int{}}
	lines := bufio.NewReader(journal)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return reader.observations, nil
		}
		if err != nil {
			return Observations{}, fmt.Errorf("read a journal: %w", err)
		}
		var entry Entry
		if err := json.Unmarshal(line, &entry); err != nil {
			return Observations{}, fmt.Errorf("journal line %q: %w", line, err)
		}
		if err := reader.apply(entry); err != nil {
			return Observations{}, err
		}
	}
}

// journalReader holds the observations read so far and the index of each Work.
type journalReader struct {
	observations Observations
	generations  map[string]int
	executions   map[string]int
}

func (j *journalReader) apply(entry Entry) error {
	if tokens := entry.Tokens; tokens != nil {
		index, found := j.generations[tokens.Work]
		if !found {
			return fmt.Errorf("%w: %s", errUnknownWork, tokens.Work)
		}
		generation := &j.observations.Generations[index]
		generation.Spans = port.AppendTokens(generation.Spans, tokens.Version, tokens.Count)
		return nil
	}
	for _, generation := range entry.Generations {
		upsert(j.generations, &j.observations.Generations, generation.Work, generation)
	}
	for _, execution := range entry.Executions {
		upsert(j.executions, &j.observations.Executions, execution.Work, execution)
	}
	entry.Generations, entry.Executions = nil, nil
	j.observations.Merge(entry.Observations)
	return nil
}

// upsert replaces the entry of a work id, or adds it.
func upsert[Kind any](indexes map[string]int, all *[]Kind, work string, latest Kind) {
	if index, found := indexes[work]; found {
		(*all)[index] = latest
		return
	}
	indexes[work] = len(*all)
	*all = append(*all, latest)
}
