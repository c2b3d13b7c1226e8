package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var start = time.UnixMilli(1_700_000_000_000)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

func policy() Policy {
	return FromConfiguration(port.Retry{
		MaxAttempts: 3, BaseBackoff: port.Duration(10 * time.Millisecond), MaxBackoff: port.Duration(40 * time.Millisecond),
	})
}

// base is a failed attempt that every rule allows to retry.
var base = Attempt{
	Number: 1, Owner: true, Verdict: port.MayHaveRun, Code: port.CodeBackEnd, Safe: true, Deadline: start.Add(time.Second),
}

func TestDecide(t *testing.T) {
	change := func(edit func(*Attempt)) Attempt {
		attempt := base
		edit(&attempt)
		return attempt
	}
	tests := map[string]struct {
		attempt Attempt
		want    Reason
	}{
		"safe, may have run":    {base, ReasonRetry},
		"safe, ran and failed":  {change(func(a *Attempt) { a.Verdict = port.Ran }), ReasonRetry},
		"unsafe, not run":       {change(func(a *Attempt) { a.Safe, a.Verdict = false, port.NotRun }), ReasonRetry},
		"unsafe, may have run":  {change(func(a *Attempt) { a.Safe = false }), ReasonMayHaveRun},
		"unsafe, ran":           {change(func(a *Attempt) { a.Safe, a.Verdict = false, port.Ran }), ReasonMayHaveRun},
		"unsafe, verdict unset": {change(func(a *Attempt) { a.Safe, a.Verdict = false, port.VerdictUnset }), ReasonMayHaveRun},
		"not the owner":         {change(func(a *Attempt) { a.Owner = false }), ReasonNotOwner},
		"invalid":               {change(func(a *Attempt) { a.Code, a.Verdict = port.CodeInvalid, port.NotRun }), ReasonPermanent},
		"caller gave up":        {change(func(a *Attempt) { a.Code = port.CodeCancelled }), ReasonPermanent},
		"last attempt":          {change(func(a *Attempt) { a.Number = 3 }), ReasonAttempts},
		"deadline passed":       {change(func(a *Attempt) { a.Deadline = start.Add(-time.Second) }), ReasonDeadline},
		"cannot end in time":    {change(func(a *Attempt) { a.Expected = time.Second }), ReasonDeadline},
		"RetryAfter too long":   {change(func(a *Attempt) { a.RetryAfter = time.Second }), ReasonDeadline},
		"no deadline":           {change(func(a *Attempt) { a.Deadline, a.Expected = time.Time{}, time.Hour }), ReasonRetry},
		"just enough time":      {change(func(a *Attempt) { a.Expected = 989 * time.Millisecond }), ReasonRetry},
		"fenced":                {change(func(a *Attempt) { a.Code, a.Verdict = port.CodeFenced, port.NotRun }), ReasonRetry},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := policy().Decide(start, test.attempt, NewBudget(0.1, start), newRandom())
			if got.Reason != test.want || got.Retry != (test.want == ReasonRetry) {
				t.Errorf("decision %+v, want reason %q", got, test.want)
			}
		})
	}
	off := Policy{MaxAttempts: 1}
	if got := off.Decide(start, base, NewBudget(1, start), newRandom()); got.Retry || got.Reason != ReasonDisabled {
		t.Errorf("retries off: %+v", got)
	}
}

// An unsafe attempt that may have run is never retried; only the owner retries, within the
// maximum attempts and the deadline; and a refusal withdraws nothing from the budget.
func TestDecideInvariants(t *testing.T) {
	verdicts := []port.Verdict{port.VerdictUnset, port.NotRun, port.MayHaveRun, port.Ran}
	codes := []port.Code{port.CodeBackEnd, port.CodeUnavailable, port.CodeInvalid, port.CodeQueueFull, port.CodeDeadline, ""}
	testkit.Check(t, 21, func(t *rapid.T) {
		attempt := Attempt{
			Number: rapid.IntRange(1, 5).Draw(t, "made"), Owner: rapid.Bool().Draw(t, "owner"),
			Verdict: rapid.SampledFrom(verdicts).Draw(t, "verdict"), Code: rapid.SampledFrom(codes).Draw(t, "code"),
			Safe: rapid.Bool().Draw(t, "safe"), Deadline: start.Add(time.Duration(rapid.IntRange(-5, 200).Draw(t, "left")) * time.Millisecond),
			Expected:   time.Duration(rapid.IntRange(0, 100).Draw(t, "expected")) * time.Millisecond,
			RetryAfter: time.Duration(rapid.IntRange(0, 100).Draw(t, "after")) * time.Millisecond,
		}
		budget := NewBudget(0.1, start)
		before := budget.Balance()
		got := policy().Decide(start, attempt, budget, newRandom())
		if !got.Retry {
			if budget.Balance() != before {
				t.Fatalf("a refusal changed the budget: %+v", got)
			}
			return
		}
		if !attempt.Safe && attempt.Verdict != port.NotRun {
			t.Fatalf("unsafe request retried: %+v", attempt)
		}
		if !attempt.Owner || attempt.Number >= 3 || !start.Add(got.After+attempt.Expected).Before(attempt.Deadline) {
			t.Fatalf("retried against the rules: %+v, %+v", attempt, got)
		}
		if got.After < attempt.RetryAfter || got.After > max(attempt.RetryAfter, 40*time.Millisecond) {
			t.Fatalf("wait %v out of range", got.After)
		}
	})
}

// For any number of failures, retries stay within the floor plus a share of successes.
func TestBudgetBoundsRetries(t *testing.T) {
	tests := map[string]struct {
		ratio     float64
		successes int
		elapsed   time.Duration
		want      int
	}{
		"only failures":      {0.1, 0, 0, 3},
		"share of successes": {0.1, 100, 0, 13},
		"no share":           {0, 1000, 0, 3},
		"floor capacity":     {0.1, 0, time.Hour, 3},
		"budget capacity":    {1, 100000, time.Second, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(test.ratio, start)
			for range test.successes {
				budget.Success(start)
			}
			granted := 0
			for range 1000 {
				if budget.Withdraw(start.Add(test.elapsed)) {
					granted++
				}
			}
			if granted != test.want {
				t.Errorf("%d retries, want %d", granted, test.want)
			}
		})
	}
}

func TestBudgetFloorRefillsAndIgnoresClockJumps(t *testing.T) {
	budget := NewBudget(0.1, start)
	for budget.Withdraw(start) {
	}
	if got := policy().Decide(start, base, budget, newRandom()); got.Retry || got.Reason != ReasonBudget {
		t.Errorf("with an empty budget: %+v", got)
	}
	if budget.Withdraw(start.Add(4 * time.Second)) {
		t.Error("a retry was allowed before the floor refilled")
	}
	if !budget.Withdraw(start.Add(6 * time.Second)) {
		t.Error("the floor did not refill")
	}
	back := start.Add(-time.Hour)
	if budget.Withdraw(back) {
		t.Error("a clock that went back earned a retry")
	}
	if !budget.Withdraw(back.Add(6 * time.Second)) {
		t.Error("the floor did not refill after the clock went back")
	}
}

func TestBackoffIsFullJitter(t *testing.T) {
	random := newRandom()
	for attempts, ceiling := range map[int]time.Duration{1: 10, 2: 20, 3: 40, 9: 40} {
		low, high := time.Hour, time.Duration(0)
		for range 2000 {
			wait := policy().backoff(attempts, random)
			low, high = min(low, wait), max(high, wait)
		}
		ceiling *= time.Millisecond
		if high > ceiling || high < ceiling*9/10 || low > ceiling/10 {
			t.Errorf("after %d attempts: waits from %v to %v, want the whole range to %v", attempts, low, high, ceiling)
		}
	}
}
