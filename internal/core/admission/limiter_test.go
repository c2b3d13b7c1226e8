package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// server has a latency that is constant up to its capacity and proportional to the
// requests in flight beyond it.
type server struct {
	capacity int
	base     time.Duration
}

func (s server) latency(inflight int) time.Duration {
	return s.base * time.Duration(max(inflight, s.capacity)) / time.Duration(s.capacity)
}

// drive sends the server as many requests as the limit and the demand allow.
func drive(limiter *Limiter, now time.Time, srv server, demand int, seconds int, failures float64) time.Time {
	random := rand.New(rand.NewPCG(5, 6))
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		inflight := min(demand, limiter.Limit())
		limiter.Observe(now, srv.latency(inflight), random.Float64() < failures, inflight)
	}
	return now
}

func TestLimiterFindsCapacity(t *testing.T) {
	tests := map[string]struct {
		config   LimiterConfig
		capacity int
		demand   int
		failures float64
		low      int
		high     int
	}{
		"ample capacity":             {LimiterConfig{Min: 2, Max: 64}, 1000, 1000, 0, 64, 64},
		"low capacity":               {LimiterConfig{Min: 2, Max: 64}, 10, 1000, 0, 8, 40},
		"failures":                   {LimiterConfig{Min: 2, Max: 64}, 1000, 1000, 0.5, 2, 3},
		"low demand keeps the limit": {LimiterConfig{Min: 2, Max: 64}, 1000, 3, 0, 33, 33},
		"fixed":                      {LimiterConfig{Min: 7, Max: 7}, 1, 1000, 0, 7, 7},
		"bounds not set":             {LimiterConfig{}, 1, 1000, 0, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := NewLimiter(test.config)
			drive(limiter, start, server{test.capacity, 50 * time.Millisecond}, test.demand, 100, test.failures)
			if got := limiter.Limit(); got < test.low || got > test.high {
				t.Errorf("limit %d, want %d to %d", got, test.low, test.high)
			}
		})
	}
}

func TestLimiterRecoversAfterFailures(t *testing.T) {
	limiter := NewLimiter(LimiterConfig{Min: 2, Max: 32})
	srv := server{1000, 50 * time.Millisecond}
	now := drive(limiter, start, srv, 1000, 20, 1)
	if limiter.Limit() != 2 {
		t.Fatalf("limit %d after failures, want the minimum", limiter.Limit())
	}
	drive(limiter, now, srv, 1000, 100, 0)
	if limiter.Limit() != 32 {
		t.Errorf("limit %d after recovery, want the maximum", limiter.Limit())
	}
}

// TestLimiterProbesNewBaseline checks that the baseline follows a replica that has become
// permanently slower, but not a lasting overload.
func TestLimiterProbesNewBaseline(t *testing.T) {
	limiter := NewLimiter(LimiterConfig{Min: 2, Max: 64})
	now := drive(limiter, start, server{1000, 50 * time.Millisecond}, 1000, 30, 0)
	now = drive(limiter, now, server{1000, 200 * time.Millisecond}, 1000, 15, 0)
	if limiter.Limit() > 32 {
		t.Fatalf("limit %d at four times the baseline latency", limiter.Limit())
	}
	now = drive(limiter, now, server{1000, 200 * time.Millisecond}, 1000, 170, 0)
	if limiter.Limit() != 64 {
		t.Errorf("limit %d after a new baseline, want the maximum", limiter.Limit())
	}
	drive(limiter, now, server{10, 200 * time.Millisecond}, 1000, 3600, 0)
	if limiter.Limit() > 40 {
		t.Errorf("limit %d after an hour of overload at a capacity of 10", limiter.Limit())
	}
}

// TestLimiterProbesOnlyWhenLatencyLimited checks that no probe lowers a limit that latency
// has not reduced.
func TestLimiterProbesOnlyWhenLatencyLimited(t *testing.T) {
	limiter := NewLimiter(LimiterConfig{Min: 2, Max: 64})
	srv := server{1000, 50 * time.Millisecond}
	now := drive(limiter, start, srv, 1000, 60, 0)
	for range 60_000 {
		now = now.Add(10 * time.Millisecond)
		limiter.Observe(now, srv.latency(limiter.Limit()), false, limiter.Limit())
		if limiter.Limit() < 64 {
			t.Fatalf("limit %d at %s, want 64 throughout", limiter.Limit(), now.Sub(start))
		}
	}
}

// TestLimiterWeighsAnswersByTokens checks that a pause of 200 ms counts by its share of the
// time, not by the number of short answers that it delays.
func TestLimiterWeighsAnswersByTokens(t *testing.T) {
	limiter := NewLimiter(LimiterConfig{Min: 2, Max: 32})
	now := drive(limiter, start, server{1000, 15 * time.Millisecond}, 1000, 60, 0)
	for range 2000 {
		for _, tokens := range []int{5, 1000} {
			now = now.Add(100 * time.Millisecond)
			duration := time.Duration(tokens)*15*time.Millisecond + 200*time.Millisecond
			limiter.ObserveWeighted(now, duration/time.Duration(tokens), tokens, false, limiter.Limit())
			if limiter.Limit() != 32 {
				t.Fatalf("limit %d, want 32 throughout", limiter.Limit())
			}
		}
	}
}

// TestLimiterAllowsFullBatches checks that a batching engine that takes longer per token of
// a fuller batch, but produces more tokens per second, does not count as overloaded.
func TestLimiterAllowsFullBatches(t *testing.T) {
	limiter := NewLimiter(LimiterConfig{Min: 1, Max: 32})
	now := start
	for range 30_000 {
		now = now.Add(10 * time.Millisecond)
		inflight := limiter.Limit()
		latency := 12*time.Millisecond + time.Duration(inflight)*600*time.Microsecond
		limiter.Observe(now, latency, false, inflight)
	}
	if limiter.Limit() != 32 {
		t.Errorf("limit %d, want 32", limiter.Limit())
	}
}

func TestLimiterStaysInBounds(t *testing.T) {
	testkit.Check(t, 51, func(t *rapid.T) {
		low := rapid.IntRange(1, 8).Draw(t, "min")
		high := low + rapid.IntRange(0, 50).Draw(t, "range")
		limiter := NewLimiter(LimiterConfig{Min: low, Max: high})
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pass")) * time.Millisecond)
			latency := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "latency"))
			limiter.Observe(now, latency, rapid.Bool().Draw(t, "failed"), rapid.IntRange(0, 100).Draw(t, "inflight"))
			if got := limiter.Limit(); got < low || got > high {
				t.Fatalf("limit %d outside %d to %d", got, low, high)
			}
		}
	})
}

func TestSetBoundsMovesTheLimit(t *testing.T) {
	limiter := NewLimiter(LimiterConfig{Min: 10, Max: 20})
	for _, test := range []struct {
		config LimiterConfig
		want   int
	}{{LimiterConfig{Min: 1, Max: 5}, 5}, {LimiterConfig{Min: 8, Max: 9}, 8}, {LimiterConfig{}, 1}} {
		limiter.SetBounds(test.config)
		if limiter.Limit() != test.want {
			t.Errorf("bounds %+v: limit %d, want %d", test.config, limiter.Limit(), test.want)
		}
	}
}
