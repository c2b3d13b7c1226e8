package load

import (
	"net/http"
	"time"
)

// Class is one kind of caller.
type Class struct {
	Name string
	// Pool is the pool that is asked.
	Pool string
	// Method and Path make an application call; the path is the back end's.
	// Without a method the call is a completion.
	Method, Path string
	// BodyBytes is the size of an application call's body.
	BodyBytes int
	// MaxTokens and PromptTokens size a completion.
	MaxTokens, PromptTokens int
	// Unsafe calls must not run more than once.
	Unsafe bool
	// Resends is how often a call of unknown outcome is sent again, with the
	// same request key and to another target.
	MaxRetries int
	Priority   int
	// Rate makes an open loop: Poisson arrivals a second. Without it Workers
	// make a closed loop, each pausing for Think on average between calls.
	Rate      float64
	Workers   int
	ThinkTime time.Duration
	// Timeout bounds one attempt. Default 10 s.
	Timeout time.Duration
	// Token, if set, is sent as bearer token.
	Token string
}

// Config describes a run.
type Config struct {
	// Targets are the base URLs of nodes. A target that refuses or cannot be
	// reached is left alone for a while.
	Targets []string
	Classes []Class
	Seed    uint64
	// Duration ends the arrivals; calls in flight are finished.
	Duration time.Duration
	// MaxCalls bounds the calls of each class. Default 100,000.
	MaxCalls int
	// MaxInFlight bounds the calls of each open loop at a time; an arrival
	// beyond it is counted and not sent. Default 256.
	MaxInFlight int
	// AvoidFor is how long a target that refused is left alone. Default 2 s.
	AvoidFor time.Duration
	// Client, if set, replaces the HTTP client.
	Client *http.Client
}

const (
	defaultTimeout     = 10 * time.Second
	defaultMaxCalls    = 100_000
	defaultMaxInFlight = 256
	// idleTimeout is below the time that nodes announce (Keep-Alive), so that a
	// call does not meet a connection that is just being closed.
	idleTimeout     = time.Second
	defaultAvoidFor = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxCalls == 0 {
		c.MaxCalls = defaultMaxCalls
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.AvoidFor == 0 {
		c.AvoidFor = defaultAvoidFor
	}
	if c.Client == nil {
		transport := &http.Transport{MaxIdleConnsPerHost: c.MaxInFlight, IdleConnTimeout: idleTimeout}
		c.Client = &http.Client{Transport: transport}
	}
	return c
}

// InkwellCallers are the callers of a comics reader: the reader app and the
// indexers, both on the page service. Scale multiplies their number.
func InkwellCallers(scale float64) []Class {
	return []Class{
		{Name: "reader app", Pool: "page-api", Method: http.MethodGet, Path: "/pages/panel", Rate: 40 * scale, Priority: 5},
		{
			Name: "indexer", Pool: "page-api", Method: http.MethodPost, Path: "/index", BodyBytes: 2048,
			Unsafe: true, MaxRetries: 2, Workers: workers(4 * scale), ThinkTime: 50 * time.Millisecond,
		},
	}
}

// MareaCallers are the callers of a buoy data service: pilots' clients and
// stitching jobs, both on the application service. Scale multiplies their
// number.
func MareaCallers(scale float64) []Class {
	return []Class{
		{Name: "pilot", Pool: "buoy-api", Method: http.MethodGet, Path: "/readings/latest", Rate: 30 * scale, Priority: 9},
		{
			Name: "stitching job", Pool: "buoy-api", Method: http.MethodPost, Path: "/records/stitch", BodyBytes: 4096,
			Unsafe: true, MaxRetries: 2, Workers: workers(6 * scale), ThinkTime: 50 * time.Millisecond,
		},
	}
}

// workers rounds a number of workers up to at least one.
func workers(count float64) int { return max(int(count+0.5), 1) }
