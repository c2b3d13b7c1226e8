package attempt_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var start = time.Unix(1_000_000, 0)

// decider decides on retries with a budget and a policy of at most four attempts.
type decider struct {
	now    time.Time
	budget *retry.Budget
	random *rand.Rand
}

func newDecider() *decider {
	return &decider{now: start, budget: retry.NewBudget(1, start), random: rand.New(rand.NewPCG(1, 2))}
}

func (d *decider) decide(failed retry.Attempt) retry.Decision {
	policy := retry.Policy{MaxAttempts: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Second}
	return policy.Decide(d.now, failed, d.budget, d.random)
}

func TestFailed(t *testing.T) {
	resumable := attempt.Rules{Safe: true, Resume: true, MaxTokens: 10}
	cases := []struct {
		name  string
		rules attempt.Rules
		// tokens is the number of tokens sent before the failure.
		tokens  int
		local   bool
		refused bool
		failure *port.Error
		want    attempt.StepKind
		verdict port.Verdict
	}{
		{"not run, unsafe", attempt.Rules{}, 0, false, false, newError(port.NotRun, port.CodeBackEnd), attempt.Retry, 0},
		{"may have run, unsafe", attempt.Rules{}, 0, false, false, newError(port.MayHaveRun, port.CodeBackEnd), attempt.Final, port.MayHaveRun},
		{"verdict unset, unsafe", attempt.Rules{}, 0, false, false, newError(port.VerdictUnset, port.CodeBackEnd), attempt.Final, port.MayHaveRun},
		{"ran, unsafe", attempt.Rules{}, 0, false, false, newError(port.Ran, port.CodeBackEnd), attempt.Final, port.Ran},
		{"may have run, safe", attempt.Rules{Safe: true}, 0, false, false, newError(port.MayHaveRun, port.CodeBackEnd), attempt.Retry, 0},
		{"refused locally", attempt.Rules{Safe: true}, 0, true, false, newError(port.NotRun, port.CodeQueueFull), attempt.Final, port.NotRun},
		{"caller retries", attempt.Rules{Safe: true, CallerRetries: true}, 0, false, false, newError(port.NotRun, port.CodeBackEnd), attempt.Final, port.NotRun},
		{"invalid", attempt.Rules{Safe: true}, 0, false, false, newError(port.NotRun, port.CodeInvalid), attempt.Final, port.NotRun},
		{"cut off, resumed", resumable, 4, false, false, newError(port.MayHaveRun, port.CodeBackEnd), attempt.Retry, 0},
		{"cut off after all tokens", resumable, 10, false, false, newError(port.MayHaveRun, port.CodeBackEnd), attempt.Complete, 0},
		{"cut off, not resumable", attempt.Rules{Safe: true}, 4, false, false, newError(port.MayHaveRun, port.CodeBackEnd), attempt.Final, port.MayHaveRun},
		{"cut off, unsafe", attempt.Rules{Resume: true}, 4, false, false, newError(port.MayHaveRun, port.CodeBackEnd), attempt.Final, port.MayHaveRun},
		{"chunk refused by the caller", resumable, 4, false, true, newError(port.MayHaveRun, port.CodeBackEnd), attempt.Final, port.MayHaveRun},
		{"deadline passed", attempt.Rules{Safe: true, Deadline: start}, 0, false, false, newError(port.NotRun, port.CodeBackEnd), attempt.Final, port.NotRun},
		{"RetryAfter past the deadline", attempt.Rules{Safe: true, Deadline: start.Add(time.Second)}, 0, false, false,
			&port.Error{Verdict: port.NotRun, Code: port.CodeBackEnd, RetryAfter: time.Minute}, attempt.Final, port.NotRun},
		{"RetryAfter of one home doesn't apply to others", attempt.Rules{Safe: true, Deadline: start.Add(time.Second)}, 0, false, false,
			&port.Error{Verdict: port.NotRun, Code: port.CodeDraining, RetryAfter: time.Minute}, attempt.Retry, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			loop := attempt.New(testCase.rules)
			loop.Begin()
			if testCase.tokens > 0 {
				loop.AddChunk(port.GenerateChunk{Text: "word", Tokens: testCase.tokens, Version: 3})
			}
			if testCase.refused {
				loop.RefuseChunk()
			}
			step := loop.Failed(attempt.Failure{Replica: "a", Error: testCase.failure, Local: testCase.local}, newDecider().decide)
			if step.Kind != testCase.want {
				t.Fatalf("step %+v", step)
			}
			if step.Kind == attempt.Final && step.Error.Verdict != testCase.verdict {
				t.Errorf("verdict %v, want %v", step.Error.Verdict, testCase.verdict)
			}
			if loop.LastFailedReplica() != "a" {
				t.Errorf("last failed replica %q", loop.LastFailedReplica())
			}
		})
	}
}

func newError(verdict port.Verdict, code port.Code) *port.Error {
	return &port.Error{Verdict: verdict, Code: code}
}

func TestContinueResumesSentText(t *testing.T) {
	accepted := port.GenerateRequest{Resume: "a", ResumeTokens: 1, MaxTokens: 9, KVHandle: "kv"}
	loop := attempt.New(attempt.Rules{Safe: true, Resume: true, MaxTokens: 9})
	loop.Begin()
	loop.AddChunk(port.GenerateChunk{Text: "b", Tokens: 2, Version: 3})
	loop.AddChunk(port.GenerateChunk{Text: "c", Tokens: 1, Version: 4})
	got := loop.Continue(accepted)
	if got.Resume != "abc" || got.ResumeTokens != 4 || got.MaxTokens != 6 || got.KVHandle != "" {
		t.Errorf("continued with %+v", got)
	}
	if spans := loop.Spans(); len(spans) != 2 || spans[0] != (port.Span{Version: 3, Tokens: 2}) {
		t.Errorf("spans %v", spans)
	}
}

// After any failures, an unsafe request is attempted again only if no attempt may have run,
// and the final verdict is NotRun only if no attempt may have run.
func TestUnsafeRunsAtMostOnce(t *testing.T) {
	testkit.Check(t, 72, func(t *rapid.T) {
		safe := rapid.Bool().Draw(t, "safe")
		loop := attempt.New(attempt.Rules{Safe: safe, Deadline: start.Add(time.Minute)})
		decider := newDecider()
		ran := false
		for {
			loop.Begin()
			if ran && !safe {
				t.Fatal("an unsafe request that may have run is attempted again")
			}
			verdict := rapid.SampledFrom([]port.Verdict{port.NotRun, port.MayHaveRun, port.Ran, port.VerdictUnset}).Draw(t, "verdict")
			code := rapid.SampledFrom([]port.Code{port.CodeBackEnd, port.CodeUnavailable, port.CodeQueueFull}).Draw(t, "code")
			ran = ran || verdict != port.NotRun
			step := loop.Failed(attempt.Failure{Replica: "a", Error: newError(verdict, code)}, decider.decide)
			if step.Kind == attempt.Retry {
				decider.now = decider.now.Add(step.After)
				continue
			}
			if (step.Error.Verdict == port.NotRun) == ran {
				t.Fatalf("final verdict %v, some attempt may have run: %v", step.Error.Verdict, ran)
			}
			if loop.Attempts() > 4 {
				t.Fatalf("%d attempts of at most 4", loop.Attempts())
			}
			return
		}
	})
}
