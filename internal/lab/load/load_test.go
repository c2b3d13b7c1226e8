package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// testClasses returns an open loop, a closed loop and a closed loop of completions.
func testClasses() []Class {
	return []Class{
		{Name: "pilot", Pool: "app", Method: http.MethodGet, Path: "/readings", Rate: 2000},
		{Name: "stitching", Pool: "app", Method: http.MethodPost, Path: "/stitch", BodyBytes: 64, Unsafe: true, Workers: 3},
		{Name: "bulletin", Pool: "lm", MaxTokens: 10, PromptTokens: 20, Workers: 2},
	}
}

func runLoad(t *testing.T, url string, classes []Class) *Result {
	t.Helper()
	return Run(context.Background(), Config{
		Targets: []string{url}, Classes: classes, Seed: 4, Duration: 20 * time.Second, MaxCalls: 12,
	})
}

func startApplication(t *testing.T) *standin.Application {
	t.Helper()
	app, err := standin.StartApplication(context.Background(), standin.ApplicationConfig{ServiceTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(app.Close)
	return app
}

func TestCallsAreAnsweredAndBounded(t *testing.T) {
	app := startApplication(t)
	result := runLoad(t, app.URL(), testClasses()[:2])
	for _, class := range result.Classes() {
		if class.Outcomes[audit.OutcomeAnswered]+class.Overflow != 12 || class.Attempts+class.Overflow != 12 || class.P50 <= 0 {
			t.Errorf("%+v", class)
		}
	}
	observed := app.Observations()
	observed.Merge(result.Observations())
	if found := audit.Check(observed, audit.Limits{}); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
}

func TestCompletionsAreCheckedByContent(t *testing.T) {
	e, err := standin.StartEngine(context.Background(), standin.EngineConfig{
		TimeScale: 20, ChunkInterval: time.Millisecond, Lengths: engine.Lengths{Median: 30},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	result := runLoad(t, e.URL(), testClasses()[2:])
	if sum := result.Classes()[0]; sum.Outcomes[audit.OutcomeAnswered] != 12 {
		t.Fatalf("%+v", sum)
	}
	observed := e.Observations()
	observed.Merge(result.Observations())
	if found := audit.Check(observed, audit.Limits{}); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
	if err := e.Inject(standin.Fault{Kind: standin.FaultMix, Count: 1}); err != nil {
		t.Fatal(err)
	}
	mixed := runLoad(t, e.URL(), []Class{{Name: "mixed", Pool: "lm", MaxTokens: 10, Workers: 1}})
	if found := audit.Check(mixed.Observations(), audit.Limits{}); len(found) == 0 {
		t.Fatal("audit did not detect the answer of another call")
	}
}

func TestOutcomesOfFailures(t *testing.T) {
	refusing := func(verdict port.Verdict) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderVerdict, verdict.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("{"))
		panic(http.ErrAbortHandler)
	}
	failInStream := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("event: error\ndata: {\"error\":{\"verdict\":\"ran\"}}\n\n"))
	}
	cutInEvent := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("data: {\"choices\":[{\"te"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	cases := []struct {
		name     string
		handler  http.HandlerFunc
		class    Class
		want     audit.Outcome
		attempts int
	}{
		{"not run", refusing(port.NotRun), Class{Method: http.MethodGet}, audit.OutcomeNotRun, 1},
		{"ran", refusing(port.Ran), Class{Method: http.MethodGet}, audit.OutcomeRan, 1},
		{"no verdict", refusing(port.VerdictUnset), Class{Method: http.MethodGet}, audit.OutcomeMayHaveRun, 1},
		{"two retries", refusing(port.MayHaveRun), Class{Method: http.MethodPost, MaxRetries: 2}, audit.OutcomeMayHaveRun, 3},
		{"cut", cut, Class{Method: http.MethodPost}, audit.OutcomeLost, 1},
		{"stream without end", func(http.ResponseWriter, *http.Request) {}, Class{}, audit.OutcomeLost, 1},
		{"stream cut within an event", cutInEvent, Class{}, audit.OutcomeLost, 1},
		{"error in stream", failInStream, Class{}, audit.OutcomeRan, 1},
		{"empty answer", func(http.ResponseWriter, *http.Request) {}, Class{Method: http.MethodGet}, audit.OutcomeAnswered, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			front := httptest.NewServer(c.handler)
			defer front.Close()
			c.class.Name, c.class.Workers = c.name, 1
			result := Run(context.Background(), Config{
				Targets: []string{front.URL}, Classes: []Class{c.class}, Duration: time.Minute, MaxCalls: 1,
			})
			sum := result.Classes()[0]
			if sum.Outcomes[c.want] != 1 || sum.Attempts != c.attempts {
				t.Fatalf("%+v, calls %+v", sum, result.Observations().Calls)
			}
		})
	}
}

func TestUnreachableTargetIsAvoided(t *testing.T) {
	app := startApplication(t)
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	result := Run(context.Background(), Config{
		Targets: []string{unreachable.URL, app.URL()}, TargetBackoff: time.Hour, Duration: time.Minute, MaxCalls: 20,
		Classes: []Class{{Name: "reader", Pool: "app", Method: http.MethodGet, Path: "/", Workers: 1}},
	})
	sum := result.Classes()[0]
	if sum.Outcomes[audit.OutcomeNotRun] != 1 || sum.Outcomes[audit.OutcomeAnswered] != 19 {
		t.Fatalf("%+v", sum)
	}
}

// The HTTP client retries a request with a request key by itself when a kept-alive
// connection breaks. Such a retry would be missing in the record of attempts.
func TestNoAttemptIsSentTwice(t *testing.T) {
	for _, class := range []Class{
		{Name: "stitching", Method: http.MethodPost, BodyBytes: 10, Unsafe: true, MaxRetries: 1},
		{Name: "reader", Method: http.MethodGet, MaxRetries: 1},
	} {
		t.Run(class.Name, func(t *testing.T) {
			var hits atomic.Int64
			front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if hits.Add(1) == 2 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer front.Close()
			class.Workers = 1
			result := Run(context.Background(), Config{
				Targets: []string{front.URL}, Classes: []Class{class}, Duration: time.Minute, MaxCalls: 3,
			})
			front.Close()
			if sum := result.Classes()[0]; sum.Attempts != 4 || hits.Load() != 4 {
				t.Fatalf("%d attempts, %d requests", sum.Attempts, hits.Load())
			}
		})
	}
}
