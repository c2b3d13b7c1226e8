package audit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Entry is one line of a journal, the file to which a stand-in writes what it
// sees, so that one that is killed is audited as well. A generation or an
// execution is written when it begins and, under the same Work, when it ends;
// the later line replaces the earlier one. Tokens come in between.
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

// errUnknownWork says that a journal lacks the beginning of some work.
var errUnknownWork = errors.New("tokens of work that the journal does not hold")

// ReadJournal gives what a journal holds. A last line without its end, which a
// killed stand-in leaves, is passed over.
func ReadJournal(journal io.Reader) (Observations, error) {
	reading := journalReader{generations: map[string]int{}, executions: map[string]int{}}
	lines := bufio.NewReader(journal)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return reading.seen, nil
		}
		if err != nil {
			return Observations{}, fmt.Errorf("read a journal: %w", err)
		}
		var entry Entry
		if err := json.Unmarshal(line, &entry); err != nil {
			return Observations{}, fmt.Errorf("journal line %q: %w", line, err)
		}
		if err := reading.take(entry); err != nil {
			return Observations{}, err
		}
	}
}

// journalReader holds what was read so far and, by Work, where it stands.
type journalReader struct {
	seen        Observations
	generations map[string]int
	executions  map[string]int
}

func (j *journalReader) take(entry Entry) error {
	if tokens := entry.Tokens; tokens != nil {
		index, known := j.generations[tokens.Work]
		if !known {
			return fmt.Errorf("%w: %s", errUnknownWork, tokens.Work)
		}
		generation := &j.seen.Generations[index]
		generation.Spans = port.AppendTokens(generation.Spans, tokens.Version, tokens.Count)
		return nil
	}
	for _, generation := range entry.Generations {
		put(j.generations, &j.seen.Generations, generation.Work, generation)
	}
	for _, execution := range entry.Executions {
		put(j.executions, &j.seen.Executions, execution.Work, execution)
	}
	entry.Generations, entry.Executions = nil, nil
	j.seen.Merge(entry.Observations)
	return nil
}

// put replaces what stands under a name of work, or adds it.
func put[Kind any](places map[string]int, all *[]Kind, work string, latest Kind) {
	if place, known := places[work]; known {
		(*all)[place] = latest
		return
	}
	places[work] = len(*all)
	*all = append(*all, latest)
}
