package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

func TestCompletionIsCompleteAndRecorded(t *testing.T) {
	e := testEngine(t, nil)
	got := complete(t, e, "r1", api.Completion{Prompt: "tell the swell", Seed: 7})
	key := engine.ContentKey("tell the swell", 7)
	if !got.done || got.id != "r1" || got.finish != "stop" || got.text != engine.Text(key, 0, 40, 1) {
		t.Fatalf("answer %+v", got)
	}
	if len(got.spans) != 1 || got.spans[0] != (port.Span{Version: 1, Tokens: 40}) {
		t.Fatalf("spans %v", got.spans)
	}
	seen := generationOf(t, e, "r1")
	if seen.End != audit.EndFinished || seen.Key != key || seen.TotalTokens != 40 || seen.Spans[0].Tokens != 40 {
		t.Fatalf("recorded %+v", seen)
	}
}

func TestCompletionWithoutStream(t *testing.T) {
	e := testEngine(t, nil)
	body := api.Completion{Prompt: "p", MaxTokens: 5}
	_, data, err := send(t, http.MethodPost, e.URL()+api.PathCompletions, "r1", body)
	var chunk api.CompletionChunk
	if err != nil || json.Unmarshal(data, &chunk) != nil {
		t.Fatalf("%v %q", err, data)
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != "length" || len(choice.Text) != 5*engine.BytesPerToken || chunk.Usage.CompletionTokens != 5 {
		t.Fatalf("answer %+v", chunk)
	}
}

func TestResumeContinuesTheSameText(t *testing.T) {
	e := testEngine(t, nil)
	whole := complete(t, e, "r1", api.Completion{Prompt: "p", Seed: 1})
	cut := 12 * engine.BytesPerToken
	rest := complete(t, e, "r2", api.Completion{Prompt: "p", Seed: 1, ResumeText: whole.text[:cut], ResumeTokens: 12})
	if whole.text[:cut]+rest.text != whole.text {
		t.Fatalf("resumed text %q does not continue", rest.text)
	}
	wrong := complete(t, e, "r3", api.Completion{Prompt: "p", Seed: 2, ResumeText: whole.text[:cut], ResumeTokens: 12})
	if wrong.status != http.StatusBadRequest || wrong.fault.Verdict != port.NotRun.String() {
		t.Fatalf("resume with another's text: %+v", wrong)
	}
	ended := complete(t, e, "r4", api.Completion{Prompt: "p", Seed: 1, ResumeText: whole.text, ResumeTokens: 40})
	if !ended.done || ended.text != "" {
		t.Fatalf("resume of a whole text: %+v", ended)
	}
}

func TestRefusedCompletionsDoNotRun(t *testing.T) {
	cases := []struct {
		name   string
		fault  *Fault
		body   api.Completion
		status int
	}{
		{"older weights than asked for", nil, api.Completion{Prompt: "p", MinVersion: 2}, http.StatusConflict},
		{"adapter not loaded", nil, api.Completion{Prompt: "p", Adapter: "x"}, http.StatusNotFound},
		{"no prompt", nil, api.Completion{}, http.StatusBadRequest},
		{"refusing", &Fault{Kind: FaultRefuse, DurationMs: 60_000}, api.Completion{Prompt: "p"}, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := testEngine(t, nil)
			if c.fault != nil {
				if err := e.Inject(*c.fault); err != nil {
					t.Fatal(err)
				}
			}
			got := complete(t, e, "r1", c.body)
			if got.status != c.status || got.fault.Verdict != port.NotRun.String() {
				t.Fatalf("got %+v", got)
			}
			if ran := e.Observations().Generations; len(ran) > 0 {
				t.Fatalf("it ran: %+v", ran)
			}
		})
	}
}

func TestEngineResponseFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault Fault
		check func(completed) bool
	}{
		{"cut mid-stream", Fault{Kind: FaultCut, Count: 1}, func(c completed) bool {
			return !c.done && c.text != "" && len(c.text) < 40*engine.BytesPerToken
		}},
		{"another's content", Fault{Kind: FaultMix, Count: 1}, func(c completed) bool {
			return c.id != "r1" && !engine.SameContent(c.text, engine.ContentKey("p", 0))
		}},
		{"late but whole", Fault{Kind: FaultLate, Count: 1, DurationMs: 30}, func(c completed) bool { return c.done }},
		{"hung, then whole", Fault{Kind: FaultHang, DurationMs: 30}, func(c completed) bool { return c.done }},
		{"slow but whole", Fault{Kind: FaultSlow, DurationMs: 30, Factor: 3}, func(c completed) bool { return c.done }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := testEngine(t, nil)
			if err := e.Inject(c.fault); err != nil {
				t.Fatal(err)
			}
			if got := complete(t, e, "r1", api.Completion{Prompt: "p"}); !c.check(got) {
				t.Fatalf("got %+v", got)
			}
			if got := complete(t, e, "r2", api.Completion{Prompt: "p"}); !got.done {
				t.Fatalf("the fault outlived its count: %+v", got)
			}
		})
	}
}

func TestCrashAbortsStreamsAndRestarts(t *testing.T) {
	e := testEngine(t, func(c *EngineConfig) { c.Lengths.Median, c.TimeScale = 20_000, 1 })
	ended := make(chan completed, 1)
	go func() { ended <- complete(t, e, "r1", api.Completion{Prompt: "p", MaxTokens: 20_000}) }()
	eventually(t, "tokens", func() bool {
		seen := e.Observations().Generations
		return len(seen) > 0 && len(seen[0].Spans) > 0
	})
	if err := e.Inject(Fault{Kind: FaultCrash, DurationMs: 20}); err != nil {
		t.Fatal(err)
	}
	if got := <-ended; got.done {
		t.Fatalf("a crashed engine gave a whole answer: %+v", got)
	}
	if seen := generationOf(t, e, "r1"); seen.End != audit.EndCrashed {
		t.Fatalf("recorded %+v", seen)
	}
	eventually(t, "restart", func() bool {
		return complete(t, e, "r2", api.Completion{Prompt: "p", MaxTokens: 2}).done
	})
}

func TestCancelEndsTheRequest(t *testing.T) {
	e := testEngine(t, func(c *EngineConfig) { c.Lengths.Median, c.TimeScale = 20_000, 1 })
	ended := make(chan completed, 1)
	go func() { ended <- complete(t, e, "r1", api.Completion{Prompt: "p", MaxTokens: 20_000}) }()
	eventually(t, "the request", func() bool { return len(e.Observations().Generations) > 0 })
	status, _, err := send(t, http.MethodDelete, e.URL()+"/v1/requests/r1", "", nil)
	if err != nil || status != http.StatusNoContent {
		t.Fatalf("cancel: %d %v", status, err)
	}
	if got := <-ended; got.done {
		t.Fatal("a cancelled request gave a whole answer")
	}
	if seen := generationOf(t, e, "r1"); seen.End != audit.EndCancelled {
		t.Fatalf("recorded %+v", seen)
	}
}

func TestOrdersAreFencedAndSwapVersions(t *testing.T) {
	store := started[*WeightStore](t)(StartWeightStore(t.Context(), WeightStoreConfig{Bytes: 200_000}))
	cases := []struct {
		name  string
		fault *Fault
		want  port.WeightVersion
	}{
		{"clean", nil, 2},
		{"fails partway", &Fault{Kind: FaultSwapFails}, 0},
		{"lands elsewhere", &Fault{Kind: FaultSwapMisdirected, Version: 9}, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := testEngine(t, nil)
			if c.fault != nil {
				if err := e.Inject(*c.fault); err != nil {
					t.Fatal(err)
				}
			}
			stage := port.Order{Kind: port.OrderStage, Fence: 5, Version: 2, Source: store.URL() + "/v1/weights/pool/2"}
			if status, _ := order(t, e, stage); status != http.StatusOK {
				t.Fatalf("stage: %d", status)
			}
			report := func() port.LoadReport {
				_, current := order(t, e, stage)
				return current
			}
			eventually(t, "staging", func() bool { return report().Staged == 2 })
			stale := port.Order{Kind: port.OrderActivate, Fence: 4, Version: 2}
			if status, _ := order(t, e, stale); status != http.StatusConflict {
				t.Fatalf("order with an old fence: %d", status)
			}
			if status, _ := order(t, e, port.Order{Kind: port.OrderActivate, Fence: 5, Version: 2}); status != http.StatusOK {
				t.Fatalf("activate: %d", status)
			}
			eventually(t, "activation", func() bool { return report().Version == c.want })
			if got := complete(t, e, "r1", api.Completion{Prompt: "p"}); got.spans[0].Version != c.want {
				t.Fatalf("spans %v", got.spans)
			}
		})
	}
}

// computedTokens returns how many context tokens an engine has computed.
func computedTokens(e *Engine) uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.model.Load().Totals.Prefilled
}

func TestExportMovesARequest(t *testing.T) {
	slow := func(c *EngineConfig) { c.Lengths.Median, c.TimeScale = 400, 4 }
	source, target := testEngine(t, slow), testEngine(t, slow)
	ended := make(chan completed, 1)
	go func() { ended <- complete(t, source, "r1", api.Completion{Prompt: "a prompt to move"}) }()
	eventually(t, "tokens", func() bool {
		seen := source.Observations().Generations
		return len(seen) > 0 && len(seen[0].Spans) > 0
	})
	_, data, err := send(t, http.MethodPost, source.URL()+api.PathKVExport, "", api.KVExport{RequestID: "r1"})
	var handle api.KVHandle
	if err != nil || json.Unmarshal(data, &handle) != nil || handle.Handle == "" {
		t.Fatalf("export: %v %q", err, data)
	}
	first := <-ended
	if first.finish != finishExported {
		t.Fatalf("source ended with %+v", first)
	}
	tokens := len(first.text) / engine.BytesPerToken
	rest := complete(t, target, "r1", api.Completion{
		Prompt: "a prompt to move", ResumeText: first.text, ResumeTokens: tokens, KVHandle: handle.Handle,
	})
	if whole := first.text + rest.text; !rest.done || !engine.SameContent(whole, engine.ContentKey("a prompt to move", 0)) || len(whole) != 400*engine.BytesPerToken {
		t.Fatalf("moved answer: %d tokens, then %+v", tokens, rest)
	}
	if computed := computedTokens(target); computed > 1 {
		t.Fatalf("target computed %d context tokens", computed)
	}
	before := computedTokens(target)
	foreign := api.Completion{Prompt: "abc", MaxTokens: 2, KVHandle: handle.Handle}
	if got := complete(t, target, "r2", foreign); !got.done || computedTokens(target) == before {
		t.Fatalf("a foreign cache was used: %+v", got)
	}
}

func cacheEvents(t *testing.T, e *Engine) api.CacheEvents {
	t.Helper()
	_, data, _ := send(t, http.MethodGet, e.URL()+api.PathCacheEvents+"?after=0", "", nil)
	var events api.CacheEvents
	if err := json.Unmarshal(data, &events); err != nil || events.First == 0 {
		t.Fatalf("%v %q", err, data)
	}
	return events
}

func TestSwapShowsAsGapInCacheEvents(t *testing.T) {
	e := testEngine(t, nil)
	complete(t, e, "r1", api.Completion{Prompt: strings.Repeat("0123456789abcdef", 8)})
	before := cacheEvents(t, e)
	order(t, e, port.Order{Kind: port.OrderStage, Version: 2})
	eventually(t, "activation", func() bool {
		_, report := order(t, e, port.Order{Kind: port.OrderActivate, Version: 2})
		return report.Version == 2
	})
	last := before.Events[len(before.Events)-1].Sequence
	if after := cacheEvents(t, e); after.First <= last+1 || len(after.Events) > 0 {
		t.Fatalf("a reader at %d does not notice the cleared cache: %+v", last, after)
	}
}

func TestCacheEventsLoadAndMetrics(t *testing.T) {
	e := testEngine(t, func(c *EngineConfig) { c.CacheGapEvery = 3; c.LoadLag = time.Hour })
	prompt := strings.Repeat("0123456789abcdef", 8)
	complete(t, e, "r1", api.Completion{Prompt: prompt})
	events := cacheEvents(t, e)
	hashes := engine.HashBlocks(prompt, 4)
	if len(events.Events) == 0 || len(events.Events) >= len(hashes) || events.Events[0].Block != hashes[0] {
		t.Fatalf("%d events for %d blocks", len(events.Events), len(hashes))
	}
	if err := e.Inject(Fault{Kind: FaultLoadVersion, Version: 99, DurationMs: 60_000}); err != nil {
		t.Fatal(err)
	}
	_, data, _ := send(t, http.MethodGet, e.URL()+api.PathEngineLoad, "", nil)
	var report port.LoadReport
	if err := json.Unmarshal(data, &report); err != nil || report.Version != 1 || report.AgeMillis != time.Hour.Milliseconds() {
		t.Fatalf("a lagging report shows %+v", report)
	}
	_, data, _ = send(t, http.MethodGet, e.URL()+api.PathMetrics, "", nil)
	if !strings.Contains(string(data), "vllm:num_requests_running 0") {
		t.Fatalf("metrics %q", data)
	}
}
