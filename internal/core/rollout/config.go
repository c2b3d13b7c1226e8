package rollout

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Defaults of a Config.
const (
	DefaultMaxStaging      = 4
	DefaultStageTimeout    = 2 * time.Minute
	DefaultStageDeadline   = 3 * time.Minute
	DefaultActivateShare   = 0.5
	DefaultActivateTimeout = 10 * time.Second

	baseBackoff = 500 * time.Millisecond
	maxBackoff  = 30 * time.Second
)

// Config configures a rollout.
type Config struct {
	Pool port.PoolName
	// Adapter is set when the pool publishes an adapter's versions.
	Adapter string
	// Fence is the epoch of the lease that the orders carry.
	Fence port.Epoch
	Node  port.NodeID
	// WeightStore is the base URL that engines load from.
	WeightStore string
	// Weights are the currently published weights; version 0 means none.
	Weights port.PublishedWeights
	// MaxStaging limits the number of replicas that load from the store concurrently.
	MaxStaging int
	// StageTimeout is how long a replica may take to stage before the order is sent
	// again.
	StageTimeout time.Duration
	// StageDeadline is how long the switch waits for all reachable replicas to stage.
	// After it, ActivateShare of them suffices, unless other replicas have staged
	// recently: a rollout to many replicas may take longer.
	StageDeadline time.Duration
	ActivateShare float64
	// ActivateTimeout limits the time from the activation order to the report of the new
	// version.
	ActivateTimeout time.Duration
	// Rolling activates each replica as soon as it has staged, instead of all together.
	Rolling bool
	// StagingLock is shared by the rollouts on the same engines; nil means that there is only
	// one rollout.
	StagingLock *StagingLock
	// Seed drives backoff jitter.
	Seed uint64
}

// ErrNoFence is returned for a configuration without fence.
var ErrNoFence = errors.New("rollout needs a lease fence")

// withDefaults replaces zero fields by their defaults.
func (c Config) withDefaults() Config {
	if c.MaxStaging == 0 {
		c.MaxStaging = DefaultMaxStaging
	}
	if c.StageTimeout == 0 {
		c.StageTimeout = DefaultStageTimeout
	}
	if c.StageDeadline == 0 {
		c.StageDeadline = DefaultStageDeadline
	}
	if c.ActivateShare == 0 {
		c.ActivateShare = DefaultActivateShare
	}
	if c.ActivateTimeout == 0 {
		c.ActivateTimeout = DefaultActivateTimeout
	}
	if c.StagingLock == nil {
		c.StagingLock = &StagingLock{}
	}
	return c
}

// order returns an order for a version.
func (c *Config) order(kind port.OrderKind, version port.WeightVersion) port.Order {
	order := port.Order{Kind: kind, Fence: c.Fence, Version: version, Adapter: c.Adapter}
	if kind == port.OrderStage {
		path := strings.NewReplacer("{pool}", string(c.Pool), "{version}", strconv.FormatUint(uint64(version), 10))
		order.Source = strings.TrimSuffix(c.WeightStore, "/") + path.Replace(api.PathWeightsBlob)
	}
	return order
}
