package policy

import "github.com/loomgrade/loomgrade/internal/port"

// View is what a program sees of its pool, as the fields of its argument.
type View struct {
	// Name is the pool's name (pool.name).
	Name port.PoolName `json:"name"`
	// Version is the trainer's published weight version (pool.version).
	Version port.WeightVersion `json:"version"`
	// StalenessBound, BatchSamples, GroupSize, MaxTokens and BufferBatches are
	// the pool's settings (pool.staleness_bound, and so on).
	StalenessBound uint64 `json:"staleness_bound"`
	BatchSamples   int    `json:"batch_samples"`
	GroupSize      int    `json:"group_size"`
	MaxTokens      int    `json:"max_tokens"`
	BufferBatches  int    `json:"buffer_batches"`
	// InFlight counts samples being generated, Scoring those at the scorer and
	// Buffered those of whole groups that wait for the trainer.
	InFlight int `json:"in_flight"`
	Scoring  int `json:"scoring"`
	Buffered int `json:"buffered"`
	// Capacity is the number of samples the replicas can run at a time.
	Capacity int `json:"capacity"`
	// TrainerWaiting says that the trainer asked for a batch that is not whole.
	TrainerWaiting bool `json:"trainer_waiting"`
	// LongSamples counts running samples over the long-sample threshold in force.
	LongSamples int `json:"long_samples"`
	// MedianTokens and HighTokens are the median and 95th percentile of finished
	// lengths (pool.median_tokens, pool.high_tokens); 0 until some finished.
	MedianTokens int `json:"median_tokens"`
	HighTokens   int `json:"high_tokens"`
	// Replicas lists the pool's replicas (pool.replicas).
	Replicas []Replica `json:"replicas"`
}

// Replica is one entry of pool.replicas.
type Replica struct {
	ID   port.ReplicaID `json:"id"`
	Zone port.ZoneName  `json:"zone"`
	// Version is what the replica last reported to serve; 0 is not known.
	Version port.WeightVersion `json:"version"`
	// Running counts its requests, Limit bounds them.
	Running int `json:"running"`
	Limit   int `json:"limit"`
}
