package engine

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// smallConfig returns a configuration with so little memory that preemption and eviction
// occur.
func smallConfig() Config {
	return Config{
		KVBlocks: 40, BlockTokens: 8, MaxSequences: 4, PrefillTokensPerStep: 64,
		CacheGenerated: true, CacheEvents: true, KVBytesPerSecond: 64 << 20,
		Weights: Weights{Model: "m", Version: 1},
	}
}

// script is a random list of calls to a model, with their times.
type script struct {
	requests []Request
	at       []time.Duration
	cancels  map[int]time.Duration
	swapAt   time.Duration
}

func drawScript(t *rapid.T) script {
	s := script{cancels: map[int]time.Duration{}}
	now := time.Duration(0)
	for i := range rapid.IntRange(1, 25).Draw(t, "requests") {
		// Odd nanoseconds keep calls off step boundaries.
		now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap"))*time.Millisecond + 1
		prompt := rapid.IntRange(1, 120).Draw(t, "prompt")
		request := Request{
			ID: fmt.Sprint("r", i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			PromptTokens: prompt, ContentKey: uint64(i % 3),
			OutputTokens: rapid.IntRange(1, 150).Draw(t, "output"),
		}
		for b := range prompt / 8 {
			request.PromptBlocks = append(request.PromptBlocks, uint64(i%4)<<32|uint64(b)+1)
		}
		s.requests, s.at = append(s.requests, request), append(s.at, now)
		if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
			s.cancels[i] = time.Duration(rapid.IntRange(1, 400).Draw(t, "after")) * time.Millisecond
		}
	}
	s.swapAt = time.Duration(rapid.IntRange(0, 2000).Draw(t, "swap"))*time.Millisecond + 7
	return s
}

// runScript runs a script and returns all events. It calls check after each call to the
// model. A tick above 0 limits how far time advances per call.
func runScript(s script, config Config, tick time.Duration, check func(*Model)) []Event {
	type call struct {
		at time.Duration
		do func(*Model, time.Duration)
	}
	var calls []call
	for i, request := range s.requests {
		calls = append(calls, call{s.at[i], func(m *Model, now time.Duration) { _ = m.Submit(now, request) }})
		if after, cancelled := s.cancels[i]; cancelled {
			calls = append(calls, call{s.at[i] + after, func(m *Model, now time.Duration) { m.Cancel(now, request.ID) }})
		}
	}
	next := Weights{Model: "m", Version: 2}
	calls = append(calls, call{s.swapAt, func(m *Model, now time.Duration) {
		_ = m.Order(now, Order{Kind: OrderStage, Weights: next})
		_ = m.CompleteStaging(now, next, true)
		_ = m.Order(now, Order{Kind: OrderActivate, Weights: next})
	}})
	slices.SortStableFunc(calls, func(a, b call) int { return int(a.at - b.at) })
	m := New(config)
	var events []Event
	collect := func(now time.Duration) {
		events = append(events, m.Advance(now)...)
		check(m)
	}
	for len(calls) > 0 || m.InFlight() > 0 {
		at, ok := m.Next()
		if tick > 0 && ok && at > m.clock+tick {
			at = m.clock + tick
		}
		if len(calls) > 0 && (!ok || calls[0].at <= at) {
			calls[0].do(m, calls[0].at)
			calls = calls[1:]
			check(m)
			continue
		}
		collect(at)
	}
	return events
}

func noCheck(*Model) {}

// outcomes lists completions, preemptions, activations and cache changes.
func outcomes(events []Event) []string {
	var list []string
	for _, e := range events {
		switch e.Kind {
		case EventFinished:
			list = append(list, fmt.Sprint(e.At, e.ID, *e.Completion))
		case EventPreempted, EventActivated, EventCache:
			list = append(list, fmt.Sprint(e.At, e.Kind, e.ID, e.Weights, e.Cache))
		}
	}
	return list
}

func TestSameScriptSameResult(t *testing.T) {
	testkit.Check(t, 11, func(t *rapid.T) {
		s := drawScript(t)
		first := outcomes(runScript(s, smallConfig(), 0, noCheck))
		if second := outcomes(runScript(s, smallConfig(), 0, noCheck)); !slices.Equal(first, second) {
			t.Fatalf("two runs differ:\n%v\n%v", first, second)
		}
	})
}

// withoutCache removes cache events: their time depends on the granularity of calls.
func withoutCache(list []Event) []Event {
	return slices.DeleteFunc(list, func(e Event) bool { return e.Kind == EventCache })
}

func TestMergedStepsEqualSingleSteps(t *testing.T) {
	testkit.Check(t, 12, func(t *rapid.T) {
		s := drawScript(t)
		merged := outcomes(withoutCache(runScript(s, smallConfig(), 0, noCheck)))
		single := smallConfig()
		single.maxRunSteps = 1
		if got := outcomes(withoutCache(runScript(s, single, 0, noCheck))); !slices.Equal(merged, got) {
			t.Fatalf("single steps differ:\n%v\n%v", merged, got)
		}
		if got := outcomes(withoutCache(runScript(s, smallConfig(), 5*time.Millisecond, noCheck))); !slices.Equal(merged, got) {
			t.Fatalf("fine-grained advance differs:\n%v\n%v", merged, got)
		}
	})
}

func TestWorkIsConserved(t *testing.T) {
	testkit.Check(t, 13, func(t *rapid.T) {
		s := drawScript(t)
		events := runScript(s, smallConfig(), 0, noCheck)
		tokens, finished := map[string]int{}, map[string]*Completion{}
		for _, e := range events {
			switch e.Kind {
			case EventTokens:
				tokens[e.ID] += e.Count
			case EventFinished:
				if finished[e.ID] != nil {
					t.Fatalf("%s finished twice", e.ID)
				}
				finished[e.ID] = e.Completion
			}
		}
		for i, request := range s.requests {
			done := finished[request.ID]
			if _, cancelled := s.cancels[i]; done == nil && !cancelled {
				t.Fatalf("%s never finished", request.ID)
			}
			if done == nil {
				continue
			}
			spanned := 0
			for _, span := range done.Spans {
				spanned += span.Tokens
			}
			if tokens[request.ID] != request.OutputTokens || spanned != request.OutputTokens {
				t.Fatalf("%s: %d token events, %d in spans, want %d", request.ID, tokens[request.ID], spanned, request.OutputTokens)
			}
		}
	})
}

// checkMemory recounts the blocks and compares the result with the model's counters.
func checkMemory(t *rapid.T, m *Model) {
	private, references := 0, map[*block]int{}
	for _, s := range m.sequences {
		private += s.private
		for _, b := range s.shared {
			references[b]++
		}
	}
	for b, count := range references {
		if b.refs != count {
			t.Fatalf("block has %d references, counted %d", b.refs, count)
		}
	}
	counted := private + len(references) + m.memory.cached
	if counted != m.memory.used || m.memory.used > m.memory.total {
		t.Fatalf("counted %d blocks, recorded %d of %d", counted, m.memory.used, m.memory.total)
	}
	for _, s := range m.running {
		if s.blocks() < m.blocksFor(s.context) {
			t.Fatalf("%s has %d blocks for %d tokens", s.request.ID, s.blocks(), s.context)
		}
	}
	if len(m.running) > m.config.MaxSequences {
		t.Fatalf("batch of %d", len(m.running))
	}
}

func TestMemoryAccounting(t *testing.T) {
	preemptions := uint64(0)
	testkit.Check(t, 14, func(t *rapid.T) {
		runScript(drawScript(t), smallConfig(), 0, func(m *Model) {
			checkMemory(t, m)
			preemptions = max(preemptions, m.totals.Preemptions)
		})
	})
	if preemptions == 0 {
		t.Fatal("no script preempted a sequence; the test is vacuous")
	}
}

func TestWaitingQueueFollowsPriority(t *testing.T) {
	testkit.Check(t, 15, func(t *rapid.T) {
		runScript(drawScript(t), smallConfig(), 0, func(m *Model) {
			idle := !m.run.active && !m.dirty && !m.swapping && len(m.pending) == 0
			if idle && len(m.waiting) > 0 && len(m.running) == 0 {
				t.Fatal("engine idles while a request waits")
			}
		})
	})
	m := New(Config{MaxSequences: 1})
	for i, priority := range []int{0, 1, 3, 2, 3} {
		request := Request{ID: fmt.Sprint(i), Priority: priority, PromptTokens: 4, OutputTokens: 3}
		if err := m.Submit(0, request); err != nil {
			t.Fatal(err)
		}
	}
	var order []string
	for _, e := range m.Advance(time.Minute) {
		if e.Kind == EventFinished {
			order = append(order, e.ID)
		}
	}
	if want := []string{"2", "4", "3", "1", "0"}; !slices.Equal(order, want) {
		t.Fatalf("finished in order %v, want %v", order, want)
	}
}

func TestSubmitRejections(t *testing.T) {
	valid := Request{ID: "a", PromptTokens: 8, OutputTokens: 4}
	with := func(change func(*Request)) Request { r := valid; change(&r); return r }
	cases := []struct {
		name    string
		config  Config
		request Request
		want    error
	}{
		{"duplicate id", Config{}, with(func(r *Request) { r.ID = "used" }), ErrDuplicateID},
		{"no prompt", Config{}, with(func(r *Request) { r.PromptTokens = 0 }), ErrEmpty},
		{"no output", Config{}, with(func(r *Request) { r.OutputTokens = 0 }), ErrEmpty},
		{"too large", Config{KVBlocks: 2, BlockTokens: 4}, valid, ErrTooLarge},
		{"queue full", Config{MaxWaiting: 1}, valid, ErrQueueFull},
		{"decode without import", Config{Role: RoleDecode}, valid, ErrRole},
		{"decode on a prefill engine", Config{Role: RolePrefill}, valid, ErrRole},
		{"adapter missing", Config{}, with(func(r *Request) { r.Adapter = "x" }), ErrAdapterNotLoaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(c.config)
			_ = m.Submit(0, Request{ID: "used", PromptTokens: 1, OutputTokens: 1})
			if err := m.Submit(0, c.request); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}
