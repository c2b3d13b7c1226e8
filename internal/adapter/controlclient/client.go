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

// ErrNoMembers refuses a Config without addresses.
var ErrNoMembers = errors.New("no control member addresses")

// Config says where the control members are and how long to wait for them. A
// zero duration takes its default.
type Config struct {
	// Addresses are peer addresses of control members, nearest first.
	Addresses []string
	// Wire holds cluster id, token and limits of the connections.
	Wire wire.Options
	// Node names this process to the members.
	Node port.NodeID
	// ProposeTimeout bounds a proposal whose context has no deadline.
	ProposeTimeout time.Duration
	// AttemptTimeout bounds one attempt at one member.
	AttemptTimeout time.Duration
	// SilenceTimeout is how long a watch may hear nothing, or nothing that is
	// confirmed, before it moves to the next member.
	WatchTimeout time.Duration
	// RetryBase and RetryMax bound the full-jitter delay between attempts.
	RetryBase time.Duration
	RetryMax  time.Duration
}

func (c Config) normalized() Config {
	c.ProposeTimeout = cmp.Or(c.ProposeTimeout, DefaultProposeTimeout)
	c.AttemptTimeout = cmp.Or(c.AttemptTimeout, DefaultAttemptTimeout)
	c.WatchTimeout = cmp.Or(c.WatchTimeout, DefaultWatchTimeout)
	c.RetryBase = cmp.Or(c.RetryBase, DefaultRetryBase)
	c.RetryMax = cmp.Or(c.RetryMax, DefaultRetryMax)
	return c
}

// Client implements port.Control over the internal protocol. It is safe for
// use by many goroutines.
type Client struct {
	config  Config
	members []*wire.Client
	current atomic.Int64

	mutex   sync.Mutex
	moves   uint64
	ignored uint64
}

var _ port.Control = (*Client)(nil)

// New returns a client; it connects when first used.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, ErrNoMembers
	}
	config = config.normalized()
	if config.Wire.Name == "" {
		config.Wire.Name = string(config.Node)
	}
	client := &Client{config: config}
	for _, address := range config.Addresses {
		client.members = append(client.members, wire.NewClient(address, config.Wire))
	}
	return client, nil
}

// Close ends the connections.
func (c *Client) Close() {
	for _, member := range c.members {
		member.Close()
	}
}

// Stats counts what the client did.
type Stats struct {
	// Moves counts changes of member.
	Moves uint64
	// Ignored counts updates that would have gone back or did not fit.
	Ignored uint64
	// BytesIn and BytesOut count the traffic with all members.
	BytesIn, BytesOut uint64
}

// Stats returns the counts since the start.
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

// Traffic gives the bytes exchanged with all members since the start.
func (c *Client) Traffic() (sent, received uint64) {
	stats := c.Stats()
	return stats.BytesOut, stats.BytesIn
}

// NewChangeID draws a change id born now.
func NewChangeID() string {
	random := make([]byte, changeIDBytes)
	_, _ = crand.Read(random) // never fails, by its documentation
	return registry.FormatChangeID(time.Now(), random)
}

// member returns the member in use and its number in the list.
func (c *Client) member() (*wire.Client, int64) {
	number := c.current.Load()
	return c.members[number%int64(len(c.members))], number
}

// moveOn makes the next member the one in use, unless another caller already
// moved on from this one.
func (c *Client) moveOn(from int64) {
	if !c.current.CompareAndSwap(from, from+1) {
		return
	}
	c.mutex.Lock()
	c.moves++
	c.mutex.Unlock()
}

// pause waits a full-jitter delay after so many failures in a row; it reports
// false when the context ended first.
func (c *Client) pause(ctx context.Context, failures int) bool {
	const maxShift = 10
	bound := min(c.config.RetryBase<<min(failures, maxShift), c.config.RetryMax)
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Propose puts a command through the log. It draws a change id where the
// command has none. Attempts are repeated, at other members too, under the one
// change id until the context ends; the error's verdict covers all attempts.
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
		c.moveOn(number)
	}
	return result, err
}

// retriable says which failures another attempt may mend.
func retriable(code port.Code) bool {
	switch code {
	case port.CodeUnavailable, port.CodeDeadline, port.CodeQueueFull, port.CodeDraining, wire.CodeProtocol:
		return true
	}
	return false
}

// withVerdict keeps a refusal from claiming NotRun when an earlier attempt may
// have run.
func withVerdict(refusal *port.Error, mayHaveRun bool) *port.Error {
	if !mayHaveRun || refusal.Verdict != port.NotRun {
		return refusal
	}
	careful := *refusal
	careful.Verdict = port.MayHaveRun
	return &careful
}

// Report tells the member in use about this node, or the next one that answers.
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
		c.moveOn(number)
	}
	return err
}
