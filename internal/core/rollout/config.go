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

// Config says what a rollout works for.
type Config struct {
	Pool port.PoolName
	// Adapter is set when the pool publishes an adapter's versions.
	Adapter string
	// Fence is the epoch of the lease that the orders are given under.
	Fence port.Epoch
	Node  port.NodeID
	// WeightStore is the base URL that engines load from.
	WeightStore string
	// Weights are the version published so far; 0 means none.
	Weights port.PublishedWeights
	// MaxStaging bounds the replicas that load from the store at a time.
	MaxStaging int
	// StageTimeout is how long one replica may take to stage before the order
	// is given again.
	StageTimeout time.Duration
	// StageDeadline is how long the switch waits for the last replicas; after it
	// ActivateShare of the reachable ones is enough, unless others still stage one
	// after the other: a rollout to many replicas may take longer.
	StageDeadline time.Duration
	ActivateShare float64
	// ActivateTimeout is how long a replica may take to report the new version.
	ActivateTimeout time.Duration
	// Rolling activates each replica as soon as it has staged, instead of all
	// together.
	Rolling bool
	// Turn is shared by the rollouts of one set of engines; nil means that no
	// other rollout stages on them.
	Turn *StagingTurn
	// Seed drives backoff jitter.
	Seed uint64
}

// ErrNoFence says that a configuration names no fence.
var ErrNoFence = errors.New("rollout needs the fence of a lease")

// withDefaults fills what is zero.
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
	if c.Turn == nil {
		c.Turn = &StagingTurn{}
	}
	return c
}

// order makes an order for a version.
func (c *Config) order(kind port.OrderKind, version port.WeightVersion) port.Order {
	order := port.Order{Kind: kind, Fence: c.Fence, Version: version, Adapter: c.Adapter}
	if kind == port.OrderStage {
		path := strings.NewReplacer("{pool}", string(c.Pool), "{version}", strconv.FormatUint(uint64(version), 10))
		order.Source = strings.TrimSuffix(c.WeightStore, "/") + path.Replace(api.PathWeightsBlob)
	}
	return order
}
