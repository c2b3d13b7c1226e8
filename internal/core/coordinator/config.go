package coordinator

import (
	"errors"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Config says what a coordinator starts from.
type Config struct {
	Pool     port.PoolName
	Sampling port.Sampling
	// Epoch is that of the lease. It must be new for every coordinator, also
	// after a restart on the same node: sample ids are unique only under it.
	Epoch port.Epoch
	Node  port.NodeID
	// LeaseUntil is until when, by this node's clock, the lease is safely held:
	// the time the acquisition was sent plus its TTL, less a margin for clock
	// drift. LeaseRenewed moves it. Nothing is delivered after it.
	LeaseUntil time.Time
	// Ledger is the pool's ledger state, read after the lease was acquired.
	Ledger port.LedgerState
	// Weights are the pool's current ones.
	Weights port.PublishedWeights
	// Program is the pool's policy; nil means policy.Default.
	Program *policy.Program
	// Seed drives sample seeds and backoff jitter.
	Seed uint64
	// Timeouts; zero fields take DefaultTimeouts.
	Timeouts Timeouts
}

// Timeouts bounds how long the coordinator waits for answers.
type Timeouts struct {
	// Stall is how long a running sample may be silent.
	Stall time.Duration
	// Cancel is how long a cancelled attempt may take to say so.
	Cancel time.Duration
	// Score, Fetch, Commit and Read are those of the respective calls.
	Score  time.Duration
	Fetch  time.Duration
	Commit time.Duration
	Read   time.Duration
}

// DefaultTimeouts gives the timeouts for fields left zero.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Stall:  2 * time.Minute,
		Cancel: 10 * time.Second,
		Score:  30 * time.Second,
		Fetch:  10 * time.Second,
		Commit: 5 * time.Second,
		Read:   5 * time.Second,
	}
}

// Bounds of the coordinator's own behaviour.
const (
	planInterval     = time.Second
	baseBackoff      = 200 * time.Millisecond
	maxBackoff       = 20 * time.Second
	maxScoreAttempts = 8
	maxFetch         = 1024
	// maxMoves bounds how often a long sample is moved.
	maxMoves = 1
)

// ErrNoLease says that a configuration names no lease epoch or end.
var ErrNoLease = errors.New("coordinator needs a lease epoch and its end")

// validate checks what New was given.
func (c *Config) validate() error {
	if c.Epoch == 0 || c.LeaseUntil.IsZero() {
		return ErrNoLease
	}
	return validateSampling(c.Sampling)
}

// validateSampling checks the settings that the batches depend on.
func validateSampling(sampling port.Sampling) error {
	switch {
	case sampling.GroupSize < 1:
		return port.InvalidField("group_size", strconv.Itoa(sampling.GroupSize), "1 or more")
	case sampling.BatchSamples < 1 || sampling.BatchSamples%sampling.GroupSize != 0:
		return port.InvalidField("batch_samples", strconv.Itoa(sampling.BatchSamples), "a multiple of group_size")
	case sampling.MaxTokens < 1:
		return port.InvalidField("max_tokens", strconv.Itoa(sampling.MaxTokens), "1 or more")
	}
	return nil
}

// withDefaults fills timeouts that are zero.
func (t Timeouts) withDefaults() Timeouts {
	standard := DefaultTimeouts()
	fill := func(value *time.Duration, other time.Duration) {
		if *value == 0 {
			*value = other
		}
	}
	fill(&t.Stall, standard.Stall)
	fill(&t.Cancel, standard.Cancel)
	fill(&t.Score, standard.Score)
	fill(&t.Fetch, standard.Fetch)
	fill(&t.Commit, standard.Commit)
	fill(&t.Read, standard.Read)
	return t
}
