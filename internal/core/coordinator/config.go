package coordinator

import (
	"errors"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Config configures a coordinator.
type Config struct {
	Pool     port.PoolName
	Sampling port.Sampling
	// Epoch is the lease epoch. It must be new for every coordinator, also after a
	// restart on the same node: sample ids are unique only within it.
	Epoch port.Epoch
	Node  port.NodeID
	// LeaseUntil is the lease expiry by this node's clock: the time at which the
	// acquisition was sent plus the TTL, less a margin for clock drift. LeaseRenewed
	// extends it. Nothing is delivered after it.
	LeaseUntil time.Time
	// Ledger is the pool's ledger state, read after the lease was acquired.
	Ledger port.LedgerState
	// Weights are the pool's currently published weights.
	Weights port.PublishedWeights
	// Program is the pool's policy; nil means policy.Default.
	Program *policy.Program
	// Seed drives sample seeds and backoff jitter.
	Seed uint64
	// Timeouts configures timeouts; zero fields take their value from DefaultTimeouts.
	Timeouts Timeouts
}

// Timeouts limits how long the coordinator waits for answers.
type Timeouts struct {
	// Stall limits the time between two progress reports of a running sample.
	Stall time.Duration
	// Cancel limits the wait for a moved attempt to end.
	Cancel time.Duration
	// Score, Fetch, Commit and Read limit the respective calls.
	Score  time.Duration
	Fetch  time.Duration
	Commit time.Duration
	Read   time.Duration
}

// DefaultTimeouts returns the default timeouts.
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

// Limits and intervals of the coordinator.
const (
	planInterval     = time.Second
	baseBackoff      = 200 * time.Millisecond
	maxBackoff       = 20 * time.Second
	maxScoreAttempts = 8
	maxFetch         = 1024
	// maxMoves limits how often a sample is moved to another replica.
	maxMoves = 1
)

// ErrNoLease is returned for a configuration without lease epoch or lease expiry.
var ErrNoLease = errors.New("coordinator needs a lease epoch and expiry")

// validate checks the configuration passed to New.
func (c *Config) validate() error {
	if c.Epoch == 0 || c.LeaseUntil.IsZero() {
		return ErrNoLease
	}
	return validateSampling(c.Sampling)
}

// validateSampling checks the settings that determine the layout of batches.
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

// withDefaults replaces zero timeouts by their defaults.
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
