package audit

import (
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	second  = time.Second
	pool    = "bulletins"
	address = "127.0.0.1:9001"
)

// newSample returns a sample of 6 tokens, the last two of version 5, and the generation
// that produced it.
func newSample(id string, seed uint64) (Sample, Generation) {
	prompt := "prompt of " + id
	key := engine.ContentKey(prompt, seed)
	spans := []port.Span{{Version: 4, Tokens: 4}, {Version: 5, Tokens: 2}}
	text := engine.Text(key, 0, 4, 4) + engine.Text(key, 4, 2, 5)
	sample := Sample{ID: id, Prompt: port.PromptIndex(seed), Call: PromptKey(prompt), Text: text, Tokens: 6, Spans: spans}
	generation := Generation{
		Engine: address, RequestID: id, Call: sample.Call, Key: key, TotalTokens: 6,
		Spans: slices.Clone(spans), StartedAt: second, EndedAt: 2 * second, End: EndFinished,
	}
	return sample, generation
}

// validHistory returns a history without violations that exercises every rule.
func validHistory() Observations {
	first, ranFirst := newSample("s1", 0)
	other, ranOther := newSample("s2", 1)
	return Observations{
		Generations: []Generation{ranFirst, ranOther},
		Executions: []Execution{
			{BackEnd: "app", Call: "read", StartedAt: second, EndedAt: second, End: EndFinished},
			{BackEnd: "app", Call: "read", StartedAt: 2 * second, EndedAt: 2 * second, End: EndFinished},
			{BackEnd: "app", Call: "write", StartedAt: 2 * second, EndedAt: 2 * second, End: EndFinished},
			{BackEnd: "app", Call: "unknown", StartedAt: 2 * second, EndedAt: 2 * second, End: EndFinished},
		},
		Calls: []Call{
			{Key: "read", Outcome: OutcomeAnswered, AnswerKey: "read", Complete: true, StartedAt: second, EndedAt: 2 * second},
			{Key: "write", Unsafe: true, Outcome: OutcomeAnswered, AnswerKey: "write", Complete: true, StartedAt: second, EndedAt: 2 * second},
			{Key: "refused", Unsafe: true, Outcome: OutcomeNotRun, StartedAt: second, EndedAt: second},
			{Key: "unknown", Unsafe: true, Outcome: OutcomeMayHaveRun, StartedAt: second, EndedAt: 2 * second},
			{Key: "unknown", Unsafe: true, Outcome: OutcomeNotRun, StartedAt: 2 * second, EndedAt: 2 * second},
		},
		Deliveries: []Delivery{
			{Pool: pool, Batch: 1, Version: 5, Samples: []Sample{first}},
			{Pool: pool, Batch: 1, Version: 5, Trained: true, Samples: []Sample{first}},
			{Pool: pool, Batch: 2, Version: 6, Trained: true, Samples: []Sample{other}},
		},
		Departures:    []Departure{{BackEnd: address, SignalledAt: 2 * second}},
		GracefulStops: []GracefulStop{{Process: address, From: 20 * second, To: 30 * second}},
	}
}

func defaultLimits() Limits {
	return Limits{Staleness: map[string]uint64{pool: 2}, PromptWindow: 1, FirstUndelivered: map[string]port.PromptIndex{pool: 2}}
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	if found := Check(validHistory(), defaultLimits()); len(found) > 0 {
		t.Fatalf("violations in a valid history: %v", found)
	}
}

func TestEachRuleIsEnforced(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(*Observations)
		want    Rule
	}{
		{"answer of another call", func(o *Observations) { o.Calls[0].AnswerKey = "write" }, RuleCompleteAnswer},
		{"incomplete answer", func(o *Observations) { o.Calls[0].Complete = false }, RuleCompleteAnswer},
		{"answer without a run", func(o *Observations) { o.Executions = o.Executions[:2] }, RuleCompleteAnswer},
		{"unsafe ran twice", func(o *Observations) { o.Executions[1].Call = "write" }, RuleUnsafeOnce},
		{"unsafe completion ran twice", func(o *Observations) {
			o.Calls[1].Key, o.Calls[1].AnswerKey = o.Generations[0].Call, o.Generations[0].Call
			o.Generations = append(o.Generations, o.Generations[0])
		}, RuleUnsafeOnce},
		{"not-run call ran", func(o *Observations) { o.Executions[0].Call = "refused" }, RuleNotRun},
		{"not-run call generated", func(o *Observations) { o.Calls[2].Key = o.Generations[0].Call }, RuleNotRun},
		{"same id twice", func(o *Observations) { o.Deliveries[2].Samples = o.Deliveries[1].Samples }, RuleSampleOnce},
		{"same content twice", func(o *Observations) {
			again := o.Deliveries[1].Samples[0]
			again.ID = "s9"
			o.Deliveries[2].Samples = append(o.Deliveries[2].Samples, again)
		}, RuleSampleOnce},
		{"batch trained twice", func(o *Observations) {
			again := o.Deliveries[2]
			again.Samples = nil
			o.Deliveries = append(o.Deliveries, again)
		}, RuleSampleOnce},
		{"missing batch", func(o *Observations) { o.Deliveries[2].Batch = 3 }, RuleSampleLost},
		{"missing prompt", func(o *Observations) { o.Deliveries[2].Samples[0].Prompt = 5 }, RuleSampleLost},
		{"missing prompt below FirstUndelivered", func(o *Observations) {
			o.Deliveries[2].Samples[0].Prompt = 2
		}, RuleSampleLost},
		{"sample claims another version", func(o *Observations) {
			o.Deliveries[2].Samples[0].Spans = []port.Span{{Version: 5, Tokens: 6}}
		}, RuleVersionsMatch},
		{"engine used another version", func(o *Observations) {
			o.Generations[1].Spans = []port.Span{{Version: 4, Tokens: 6}}
		}, RuleVersionsMatch},
		{"spans do not cover the tokens", func(o *Observations) { o.Deliveries[2].Samples[0].Tokens = 7 }, RuleVersionsMatch},
		{"text of another prompt", func(o *Observations) {
			o.Deliveries[2].Samples[0].Text = o.Deliveries[1].Samples[0].Text
		}, RuleVersionsMatch},
		{"incomplete sample", func(o *Observations) { o.Generations[1].TotalTokens = 9 }, RuleVersionsMatch},
		{"sample without spans", func(o *Observations) {
			o.Deliveries[2].Samples[0].Spans, o.Deliveries[2].Samples[0].Tokens = nil, 0
		}, RuleVersionsMatch},
		{"completion claims another version", func(o *Observations) {
			s := o.Deliveries[1].Samples[0]
			o.Calls[0].Key, o.Calls[0].AnswerKey, o.Calls[0].Text = s.Call, s.Call, s.Text
			o.Calls[0].Spans = []port.Span{{Version: 4, Tokens: 6}}
		}, RuleVersionsMatch},
		{"stale sample", func(o *Observations) { o.Deliveries[2].Version = 7 }, RuleStaleness},
		{"stale discarded copy", func(o *Observations) { o.Deliveries[0].Version = 7 }, RuleStaleness},
		{"stale discarded copy sent beside the publication", func(o *Observations) {
			o.Deliveries[0].Version, o.Deliveries[0].HeaderVersion = 7, 7
		}, RuleStaleness},
		{"stale batch that was fresh when its header arrived", func(o *Observations) {
			o.Deliveries[2].Version, o.Deliveries[2].HeaderVersion = 7, 6
		}, RuleStaleness},
		{"unknown version", func(o *Observations) { o.Deliveries[2].Samples[0].Spans[1].Version = 0 }, RuleStaleness},
		{"new work while leaving", func(o *Observations) { o.Generations[1].StartedAt = 6 * second }, RuleDeparture},
		{"new call while leaving", func(o *Observations) {
			o.Departures[0].BackEnd, o.Executions[0].StartedAt = "app", 6*second
		}, RuleDeparture},
		{"new work from a zone that received the departure", func(o *Observations) {
			o.Departures[0].From = "a"
			o.Generations[1].From, o.Generations[1].StartedAt = "a", 6*second
		}, RuleDeparture},
		{"generation interrupted by a stop", func(o *Observations) {
			o.Generations[0].End, o.Generations[0].EndedAt = EndCut, 25*second
		}, RuleGracefulStop},
		{"execution interrupted by a stop", func(o *Observations) {
			o.Executions[0].End, o.Executions[0].EndedAt, o.Executions[0].BackEnd = EndCut, 25*second, address
			o.Departures = nil
		}, RuleGracefulStop},
		{"call interrupted by a stop", func(o *Observations) {
			o.Calls[3].Outcome, o.Calls[3].EndedAt = OutcomeLost, 21*second
		}, RuleGracefulStop},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := validHistory()
			c.corrupt(&o)
			found := Check(o, defaultLimits())
			if !slices.ContainsFunc(found, func(v Violation) bool { return v.Rule == c.want }) {
				t.Fatalf("rule %q not violated; found %v", c.want, found)
			}
		})
	}
}

func TestResumedSampleIsValid(t *testing.T) {
	o := validHistory()
	resumed := o.Generations[0]
	resumed.FirstToken, resumed.Spans = 4, resumed.Spans[1:]
	o.Generations[0].Spans, o.Generations[0].End = o.Generations[0].Spans[:1], EndCancelled
	o.Generations = append(o.Generations, resumed)
	if found := Check(o, defaultLimits()); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
}

func TestFaultExplainsFailureDuringStop(t *testing.T) {
	o := validHistory()
	o.Calls[3].EndedAt = 21 * second
	o.Faults = []Fault{{Kind: "crash", From: 10 * second, To: 22 * second}}
	if found := Check(o, defaultLimits()); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
}

func TestDepartureAppliesToItsZone(t *testing.T) {
	o := validHistory()
	o.Departures[0].From = "a"
	o.Generations[1].From, o.Generations[1].StartedAt = "b", 6*second
	for _, found := range Check(o, defaultLimits()) {
		if found.Rule == RuleDeparture {
			t.Errorf("%v", found)
		}
	}
}
