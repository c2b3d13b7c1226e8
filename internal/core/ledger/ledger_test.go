package ledger

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const testPool port.PoolName = "pool"

var testContext = CommitContext{
	CoordinatorEpoch: 5, Published: 10,
	Sampling: port.Sampling{StalenessBound: 2, BatchSamples: 4, GroupSize: 2},
}

// batch returns a commit with two samples for each prompt.
func batch(number port.BatchNumber, attempt uint32, sequence uint64, prompts ...port.PromptIndex) port.CommitBatch {
	command := port.CommitBatch{
		Pool: testPool, CoordinatorEpoch: 5, ConsumerEpoch: 1, Number: number, Attempt: attempt, Acknowledge: number - 1,
	}
	for _, prompt := range prompts {
		for range 2 {
			command.Samples = append(command.Samples, port.CommittedSample{
				ID: port.SampleID{Pool: testPool, Epoch: 5, Sequence: sequence}, Prompt: prompt, Oldest: 9,
			})
			sequence++
		}
	}
	return command
}

func newRegisteredLedger(t *testing.T) *Ledger {
	t.Helper()
	var ledger Ledger
	if _, refusal := ledger.Register(port.RegisterConsumer{Pool: testPool, Consumer: "trainer"}, 1); refusal != nil {
		t.Fatal(refusal)
	}
	return &ledger
}

func codeOf(refusal *port.Error) port.Code {
	if refusal == nil {
		return ""
	}
	return refusal.Code
}

func TestCommitRefusals(t *testing.T) {
	tests := []struct {
		name    string
		modify  func(*port.CommitBatch)
		context func(*CommitContext)
		want    port.Code
	}{
		{"next batch", func(*port.CommitBatch) {}, nil, ""},
		{"resend of the last batch", func(c *port.CommitBatch) { *c = batch(1, 1, 1, 0, 1) }, nil, ""},
		{"coordinator fenced", func(c *port.CommitBatch) { c.CoordinatorEpoch = 4 }, nil, port.CodeFenced},
		{"no coordinator lease", func(*port.CommitBatch) {}, func(t *CommitContext) { t.CoordinatorEpoch = 0 }, port.CodeFenced},
		{"consumer fenced", func(c *port.CommitBatch) { c.ConsumerEpoch = 2 }, nil, port.CodeFenced},
		{"number skipped", func(c *port.CommitBatch) { c.Number = 3 }, nil, port.CodeConflict},
		{"last not acknowledged", func(c *port.CommitBatch) { c.Acknowledge = 0 }, nil, port.CodeConflict},
		{"acknowledges an uncommitted batch", func(c *port.CommitBatch) { c.Acknowledge = 2 }, nil, port.CodeConflict},
		{"stale", func(c *port.CommitBatch) { c.Samples[3].Oldest = 7 }, nil, port.CodeStale},
		{"at the staleness bound", func(c *port.CommitBatch) { c.Samples[3].Oldest = 8 }, nil, ""},
		{"stale after a publication", func(*port.CommitBatch) {}, func(t *CommitContext) { t.Published = 12 }, port.CodeStale},
		{"unknown version", func(c *port.CommitBatch) { c.Samples[0].Oldest = 0 }, nil, port.CodeStale},
		{"committed prompt", func(c *port.CommitBatch) { *c = batch(2, 1, 5, 1, 2) }, nil, port.CodeConflict},
		{"committed sample", func(c *port.CommitBatch) { c.Samples[0].ID.Sequence = 1 }, nil, port.CodeConflict},
		{"duplicate sample", func(c *port.CommitBatch) { c.Samples[0].ID = c.Samples[1].ID }, nil, port.CodeConflict},
		{"sample of another epoch", func(c *port.CommitBatch) { c.Samples[0].ID.Epoch = 4 }, nil, port.CodeInvalid},
		{"incomplete group", func(c *port.CommitBatch) { c.Samples[0].Prompt = 3 }, nil, port.CodeInvalid},
		{"too few samples", func(c *port.CommitBatch) { c.Samples = c.Samples[:2] }, nil, port.CodeInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := newRegisteredLedger(t)
			if refusal := ledger.Commit(batch(1, 1, 1, 0, 1), testContext); refusal != nil {
				t.Fatal(refusal)
			}
			before := ledger.State(testPool)
			command, context := batch(2, 1, 5, 2, 3), testContext
			test.modify(&command)
			if test.context != nil {
				test.context(&context)
			}
			if got := codeOf(ledger.Commit(command, context)); got != test.want {
				t.Fatalf("got %q, want %q", got, test.want)
			}
			if after := ledger.State(testPool); test.want != "" && after.Committed != before.Committed {
				t.Fatal("a refused commit changed the ledger")
			}
		})
	}
}

func TestVoidReopensPromptsAndKeepsIDsUsed(t *testing.T) {
	ledger := newRegisteredLedger(t)
	for _, command := range []port.CommitBatch{batch(1, 1, 1, 0, 3), batch(2, 1, 5, 1, 2)} {
		if refusal := ledger.Commit(command, testContext); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if below := ledger.State(testPool).PromptsBelow; below != 4 {
		t.Fatalf("prompts below %d, want 4", below)
	}
	if got := codeOf(ledger.Commit(batch(2, 2, 7, 2, 4), testContext)); got != port.CodeConflict {
		t.Fatalf("voided sample ids were accepted: %q", got)
	}
	if refusal := ledger.Commit(batch(2, 2, 9, 2, 4), testContext); refusal != nil {
		t.Fatal(refusal)
	}
	state := ledger.State(testPool)
	if state.PromptsBelow != 1 || !slices.Equal(state.PromptsAbove, []port.PromptIndex{2, 3, 4}) {
		t.Fatalf("prompts below %d above %v", state.PromptsBelow, state.PromptsAbove)
	}
}

func TestRewindOpensPromptsAndFencesTheOldConsumer(t *testing.T) {
	ledger := newRegisteredLedger(t)
	for number := range port.BatchNumber(3) {
		first := port.PromptIndex(2 * number)
		if refusal := ledger.Commit(batch(number+1, 1, uint64(4*number), first, first+1), testContext); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if _, refusal := ledger.Register(port.RegisterConsumer{Pool: testPool, Consumer: "t", RewindTo: 4}, 2); refusal == nil {
		t.Fatal("rewound to an uncommitted batch")
	}
	consumer, refusal := ledger.Register(port.RegisterConsumer{Pool: testPool, Consumer: "t", RewindTo: 2}, 2)
	if refusal != nil || consumer.Next != 2 {
		t.Fatalf("%+v, %v", consumer, refusal)
	}
	if below := ledger.State(testPool).PromptsBelow; below != 2 {
		t.Fatalf("prompts below %d, want 2", below)
	}
	if got := codeOf(ledger.Commit(batch(2, 1, 100, 2, 3), testContext)); got != port.CodeFenced {
		t.Fatalf("commit for a fenced consumer: %q", got)
	}
	command := batch(2, 1, 100, 2, 3)
	command.ConsumerEpoch = 2
	if refusal := ledger.Commit(command, testContext); refusal != nil {
		t.Fatal(refusal)
	}
}

func TestPromptSetMatchesAPlainSet(t *testing.T) {
	testkit.Check(t, 43, func(t *rapid.T) {
		var prompts promptSet
		plain := map[port.PromptIndex]bool{}
		for range 60 {
			prompt := port.PromptIndex(rapid.IntRange(0, 20).Draw(t, "prompt"))
			if rapid.Bool().Draw(t, "add") {
				prompts.add(prompt)
				plain[prompt] = true
			} else if prompts.contains(prompt) {
				prompts.remove([]port.PromptIndex{prompt})
				delete(plain, prompt)
			}
			for candidate := range port.PromptIndex(25) {
				if prompts.contains(candidate) != plain[candidate] {
					t.Fatalf("prompt %d: %+v against %v", candidate, prompts, slices.Sorted(maps.Keys(plain)))
				}
			}
		}
	})
}

func TestSequenceSetMatchesAPlainSetAndStaysBounded(t *testing.T) {
	testkit.Check(t, 44, func(t *rapid.T) {
		var used sequenceSet
		plain := map[uint64]bool{}
		for range 80 {
			number := rapid.Uint64Range(0, 40).Draw(t, "number")
			used = used.add(number)
			plain[number] = true
			for candidate := range uint64(45) {
				if used.contains(candidate) != plain[candidate] {
					t.Fatalf("number %d: %v", candidate, used)
				}
			}
		}
	})
	var used sequenceSet
	for number := range uint64(3 * maxSequenceRanges) {
		used = used.add(2 * number)
	}
	if len(used) > maxSequenceRanges || !used.contains(0) {
		t.Fatalf("%d ranges, first %v", len(used), used[0])
	}
}
