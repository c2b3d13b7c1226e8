package load

import (
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
)

// Class describes one kind of caller.
type Class struct {
	Name string
	// Pool is the pool that is called.
	Pool string
	// Method and Path describe an application call; Path is relative to the back end.
	// Without a method the call is a completion.
	Method, Path string
	// BodyBytes is the size of an application call's body.
	BodyBytes int
	// MaxTokens and PromptTokens are the sizes of a completion.
	MaxTokens, PromptTokens int
	// Unsafe calls must run at most once.
	Unsafe bool
	// MaxRetries is the maximum number of retries of a call whose outcome is unknown, with
	// the same request key and on the next target.
	MaxRetries int
	Priority   int
	// Rate is the rate of Poisson arrivals per second (open loop). Without it, each of
	// Workers pauses for ThinkTime on average and calls, in a loop (closed loop).
	Rate      float64
	Workers   int
	ThinkTime time.Duration
	// Timeout limits one attempt. Default 10 s.
	Timeout time.Duration
	// Token, if set, is sent as bearer token.
	Token string
	// Cluster, if set, is the id of the cluster that must serve the calls.
	Cluster string
}

// Config describes a load.
type Config struct {
	// Targets are the base URLs of nodes. A target that is draining or unreachable is
	// in backoff for TargetBackoff.
	Targets []string
	Classes []Class
	Seed    uint64
	// Duration ends the arrivals; calls in flight are completed.
	Duration time.Duration
	// MaxCalls limits the calls of each class. Default 100,000.
	MaxCalls int
	// MaxInFlight limits the concurrent calls of each open loop; arrivals beyond it are
	// counted but not sent. Default 256.
	MaxInFlight int
	// TargetBackoff is how long a target stays in backoff. Default 2 s.
	TargetBackoff time.Duration
	// Client, if set, replaces the HTTP client.
	Client *http.Client
}

const (
	defaultTimeout     = 10 * time.Second
	defaultMaxCalls    = 100_000
	defaultMaxInFlight = 256
	// idleTimeout is below the keep-alive timeout of nodes, so that no call is sent on a
	// connection that the node is closing.
	idleTimeout          = time.Second
	defaultTargetBackoff = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxCalls == 0 {
		c.MaxCalls = defaultMaxCalls
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.TargetBackoff == 0 {
		c.TargetBackoff = defaultTargetBackoff
	}
	if c.Client == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: c.MaxInFlight, IdleConnTimeout: idleTimeout}
		c.Client = httpcall.CheckedClient(transport, 0)
	}
	return c
}

// InkwellCallers returns the callers of a comics reader: the reader app and the indexers,
// both on the page service. Scale multiplies the rate and the number of workers.
func InkwellCallers(scale float64) []Class {
	return []Class{
		{Name: "reader app", Pool: "page-api", Method: http.MethodGet, Path: "/pages/panel", Rate: 40 * scale, Priority: 5},
		{
			Name: "indexer", Pool: "page-api", Method: http.MethodPost, Path: "/index", BodyBytes: 2048,
			Unsafe: true, MaxRetries: 2, Workers: workers(4 * scale), ThinkTime: 50 * time.Millisecond,
		},
	}
}

// MareaCallers returns the callers of a buoy data service: pilots' clients and stitching
// jobs, both on the application service. Scale multiplies the rate and the number of
// workers.
func MareaCallers(scale float64) []Class {
	return []Class{
		{Name: "pilot", Pool: "buoy-api", Method: http.MethodGet, Path: "/readings/latest", Rate: 30 * scale, Priority: 9},
		{
			Name: "stitching job", Pool: "buoy-api", Method: http.MethodPost, Path: "/records/stitch", BodyBytes: 4096,
			Unsafe: true, MaxRetries: 2, Workers: workers(6 * scale), ThinkTime: 50 * time.Millisecond,
		},
	}
}

// workers rounds a number of workers to at least one.
func workers(count float64) int { return max(int(count+0.5), 1) }
