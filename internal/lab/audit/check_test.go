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

// sampleOf returns a sample of 6 tokens, the last two of version 5, and the
// generation that produced it.
func sampleOf(id string, seed uint64) (Sample, Generation) {
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

// goodHistory is a history without violations that every check looks at.
func goodHistory() Observations {
	first, ranFirst := sampleOf("s1", 0)
	other, ranOther := sampleOf("s2", 1)
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
		Departures:   []Departure{{BackEnd: address, SignalledAt: 2 * second}},
		PlannedStops: []PlannedStop{{Process: address, From: 20 * second, To: 30 * second}},
	}
}

func testBounds() Limits {
	return Limits{Staleness: map[string]uint64{pool: 2}, PromptWindow: 1, FirstUndelivered: map[string]port.PromptIndex{pool: 2}}
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	if found := Check(goodHistory(), testBounds()); len(found) > 0 {
		t.Fatalf("violations in a good history: %v", found)
	}
}

func TestEachRuleIsEnforced(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(*Observations)
		want  Rule
	}{
		{"answer to another", func(o *Observations) { o.Calls[0].AnswerKey = "write" }, RuleCompleteAnswer},
		{"answer cut short", func(o *Observations) { o.Calls[0].Complete = false }, RuleCompleteAnswer},
		{"answer from nowhere", func(o *Observations) { o.Executions = o.Executions[:2] }, RuleCompleteAnswer},
		{"unsafe ran twice", func(o *Observations) { o.Executions[1].Call = "write" }, RuleUnsafeOnce},
		{"unsafe completion ran twice", func(o *Observations) {
			o.Calls[1].Key, o.Calls[1].AnswerKey = o.Generations[0].Call, o.Generations[0].Call
			o.Generations = append(o.Generations, o.Generations[0])
		}, RuleUnsafeOnce},
		{"refused yet ran", func(o *Observations) { o.Executions[0].Call = "refused" }, RuleNotRun},
		{"refused yet generated", func(o *Observations) { o.Calls[2].Key = o.Generations[0].Call }, RuleNotRun},
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
		{"batch left out", func(o *Observations) { o.Deliveries[2].Batch = 3 }, RuleSampleLost},
		{"prompt left out", func(o *Observations) { o.Deliveries[2].Samples[0].Prompt = 5 }, RuleSampleLost},
		{"prompt held for done left out", func(o *Observations) {
			o.Deliveries[2].Samples[0].Prompt = 2
		}, RuleSampleLost},
		{"claims another version", func(o *Observations) {
			o.Deliveries[2].Samples[0].Spans = []port.Span{{Version: 5, Tokens: 6}}
		}, RuleVersionsMatch},
		{"engine used another version", func(o *Observations) {
			o.Generations[1].Spans = []port.Span{{Version: 4, Tokens: 6}}
		}, RuleVersionsMatch},
		{"spans do not cover the tokens", func(o *Observations) { o.Deliveries[2].Samples[0].Tokens = 7 }, RuleVersionsMatch},
		{"text of another prompt", func(o *Observations) {
			o.Deliveries[2].Samples[0].Text = o.Deliveries[1].Samples[0].Text
		}, RuleVersionsMatch},
		{"sample cut short", func(o *Observations) { o.Generations[1].TotalTokens = 9 }, RuleVersionsMatch},
		{"sample without spans", func(o *Observations) {
			o.Deliveries[2].Samples[0].Spans, o.Deliveries[2].Samples[0].Tokens = nil, 0
		}, RuleVersionsMatch},
		{"caller told another version", func(o *Observations) {
			s := o.Deliveries[1].Samples[0]
			o.Calls[0].Key, o.Calls[0].AnswerKey, o.Calls[0].Text = s.Call, s.Call, s.Text
			o.Calls[0].Spans = []port.Span{{Version: 4, Tokens: 6}}
		}, RuleVersionsMatch},
		{"too old", func(o *Observations) { o.Deliveries[2].Version = 7 }, RuleStaleness},
		{"unknown version", func(o *Observations) { o.Deliveries[2].Samples[0].Spans[1].Version = 0 }, RuleStaleness},
		{"new work while leaving", func(o *Observations) { o.Generations[1].StartedAt = 6 * second }, RuleDeparture},
		{"new call while leaving", func(o *Observations) {
			o.Departures[0].BackEnd, o.Executions[0].StartedAt = "app", 6*second
		}, RuleDeparture},
		{"new work from a zone that was told of the departure", func(o *Observations) {
			o.Departures[0].From = "a"
			o.Generations[1].From, o.Generations[1].StartedAt = "a", 6*second
		}, RuleDeparture},
		{"generation cut by a stop", func(o *Observations) {
			o.Generations[0].End, o.Generations[0].EndedAt = EndCut, 25*second
		}, RulePlannedStop},
		{"execution cut by a stop", func(o *Observations) {
			o.Executions[0].End, o.Executions[0].EndedAt, o.Executions[0].BackEnd = EndCut, 25*second, address
			o.Departures = nil
		}, RulePlannedStop},
		{"caller cut by a stop", func(o *Observations) {
			o.Calls[3].Outcome, o.Calls[3].EndedAt = OutcomeLost, 21*second
		}, RulePlannedStop},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := goodHistory()
			c.spoil(&o)
			found := Check(o, testBounds())
			if !slices.ContainsFunc(found, func(v Violation) bool { return v.Rule == c.want }) {
				t.Fatalf("rule %q did not fire; found %v", c.want, found)
			}
		})
	}
}

func TestResumedSampleIsValid(t *testing.T) {
	o := goodHistory()
	resumed := o.Generations[0]
	resumed.FirstToken, resumed.Spans = 4, resumed.Spans[1:]
	o.Generations[0].Spans, o.Generations[0].End = o.Generations[0].Spans[:1], EndCancelled
	o.Generations = append(o.Generations, resumed)
	if found := Check(o, testBounds()); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
}

func TestFaultExplainsFailureDuringStop(t *testing.T) {
	o := goodHistory()
	o.Calls[3].EndedAt = 21 * second
	o.Faults = []Fault{{Kind: "crash", From: 10 * second, To: 22 * second}}
	if found := Check(o, testBounds()); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
}

func TestDepartureAppliesToItsZone(t *testing.T) {
	o := goodHistory()
	o.Departures[0].From = "a"
	o.Generations[1].From, o.Generations[1].StartedAt = "b", 6*second
	for _, found := range Check(o, testBounds()) {
		if found.Rule == RuleDeparture {
			t.Errorf("%v", found)
		}
	}
}
