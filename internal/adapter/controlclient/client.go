package controlclient

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Defaults of Config.
const (
	DefaultProposeTimeout = 10 * time.Second
	DefaultAttemptTimeout = 3 * time.Second
	DefaultWatchTimeout   = 3 * time.Second
	DefaultRetryBase      = 20 * time.Millisecond
	DefaultRetryMax       = time.Second

	changeIDBytes = 8
)

// ErrNoMembers means that a Config has no addresses.
var ErrNoMembers = errors.New("no control member addresses")

// Config configures a Client. Zero durations take their defaults.
type Config struct {
	// Addresses are peer addresses of control members, nearest first.
	Addresses []string
	// Wire holds the cluster id, the token and the connection limits.
	Wire wire.Options
	// Node identifies this process to the members.
	Node port.NodeID
	// ProposeTimeout limits a proposal whose context has no deadline.
	ProposeTimeout time.Duration
	// AttemptTimeout limits one attempt at one member.
	AttemptTimeout time.Duration
	// WatchTimeout is how long a watch waits for a confirmed update before it moves to
	// the next member.
	WatchTimeout time.Duration
	// RetryBase and RetryMax limit the full-jitter delay between attempts.
	RetryBase time.Duration
	RetryMax  time.Duration
}

func (c Config) withDefaults() Config {
	c.ProposeTimeout = cmp.Or(c.ProposeTimeout, DefaultProposeTimeout)
	c.AttemptTimeout = cmp.Or(c.AttemptTimeout, DefaultAttemptTimeout)
	c.WatchTimeout = cmp.Or(c.WatchTimeout, DefaultWatchTimeout)
	c.RetryBase = cmp.Or(c.RetryBase, DefaultRetryBase)
	c.RetryMax = cmp.Or(c.RetryMax, DefaultRetryMax)
	return c
}

// Client implements port.Control over the internal protocol. It is safe for concurrent
// use.
type Client struct {
	config  Config
	members []*wire.Client
	current atomic.Int64

	mutex   sync.Mutex
	moves   uint64
	ignored uint64
}

var _ port.Control = (*Client)(nil)

// New returns a client that connects on first use.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, ErrNoMembers
	}
	config = config.withDefaults()
	if config.Wire.Name == "" {
		config.Wire.Name = string(config.Node)
	}
	client := &Client{config: config}
	for _, address := range config.Addresses {
		client.members = append(client.members, wire.NewClient(address, config.Wire))
	}
	return client, nil
}

// Close closes the connections.
func (c *Client) Close() {
	for _, member := range c.members {
		member.Close()
	}
}

// Stats are counters of a Client.
type Stats struct {
	// Moves counts changes to another member.
	Moves uint64
	// Ignored counts updates dropped as stale or out of sequence.
	Ignored uint64
	// BytesIn and BytesOut count the traffic with all members.
	BytesIn, BytesOut uint64
}

// Stats returns the counters since the client's creation.
func (c *Client) Stats() Stats {
	c.mutex.Lock()
	stats := Stats{Moves: c.moves, Ignored: c.ignored}
	c.mutex.Unlock()
	for _, member := range c.members {
		totals := member.Totals()
		stats.BytesIn += totals.BytesIn
		stats.BytesOut += totals.BytesOut
	}
	return stats
}

// Traffic returns the bytes exchanged with all members since the client's creation.
func (c *Client) Traffic() (sent, received uint64) {
	stats := c.Stats()
	return stats.BytesOut, stats.BytesIn
}

// NewChangeID returns a random change id with the current time.
func NewChangeID() string {
	random := make([]byte, changeIDBytes)
	_, _ = crand.Read(random) // never fails, by its documentation
	return registry.FormatChangeID(time.Now(), random)
}

// member returns the current member and its sequence number.
func (c *Client) member() (*wire.Client, int64) {
	number := c.current.Load()
	return c.members[number%int64(len(c.members))], number
}

// failOver selects the next member, unless another call has already replaced the current one.
func (c *Client) failOver(from int64) {
	if !c.current.CompareAndSwap(from, from+1) {
		return
	}
	c.mutex.Lock()
	c.moves++
	c.mutex.Unlock()
}

// pause waits for a delay with full jitter that grows with the number of consecutive
// failures; it reports false if ctx ends first.
func (c *Client) pause(ctx context.Context, failures int) bool {
	const maxShift = 10
	limit := min(c.config.RetryBase<<min(failures, maxShift), c.config.RetryMax)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Propose commits a command through the log, with a new change id if the command has
// none. It retries, also at other members, with the same change id until ctx ends. The
// error's verdict covers all attempts.
func (c *Client) Propose(ctx context.Context, command port.Command) (port.Result, error) {
	if command.ChangeID == "" {
		command.ChangeID = NewChangeID()
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.ProposeTimeout)
		defer cancel()
	}
	mayHaveRun := false
	for failures := 0; ; failures++ {
		result, err := c.attempt(ctx, command)
		if err == nil {
			return result, nil
		}
		refusal := port.AsError(err)
		mayHaveRun = mayHaveRun || refusal.Verdict != port.NotRun
		if !retriable(refusal.Code) || !c.pause(ctx, failures) {
			return port.Result{}, withVerdict(refusal, mayHaveRun)
		}
	}
}

func (c *Client) attempt(ctx context.Context, command port.Command) (port.Result, error) {
	member, number := c.member()
	attempt, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	var result port.Result
	err := member.Call(attempt, MethodPropose, command, &result)
	if err != nil {
		c.failOver(number)
	}
	return result, err
}

// retriable reports whether another attempt may succeed.
func retriable(code port.Code) bool {
	switch code {
	case port.CodeUnavailable, port.CodeDeadline, port.CodeQueueFull, port.CodeDraining, wire.CodeProtocol:
		return true
	}
	return false
}

// withVerdict replaces the verdict NotRun of a refusal if an earlier attempt may have
// run.
func withVerdict(refusal *port.Error, mayHaveRun bool) *port.Error {
	if !mayHaveRun || refusal.Verdict != port.NotRun {
		return refusal
	}
	weakened := *refusal
	weakened.Verdict = port.MayHaveRun
	return &weakened
}

// Report sends this node's report to the current member, or to the next that accepts it.
func (c *Client) Report(ctx context.Context, report port.NodeReport) error {
	var err error
	for range c.members {
		member, number := c.member()
		attempt, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
		err = member.Call(attempt, MethodReport, report, nil)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		c.failOver(number)
	}
	return err
}
