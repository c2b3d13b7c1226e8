package policy

import "github.com/loomgrade/loomgrade/internal/port"

// View holds the fields of a program's argument.
type View struct {
	// Name is the pool's name (pool.name).
	Name port.PoolName `json:"name"`
	// Version is the trainer's published weight version (pool.version).
	Version port.WeightVersion `json:"version"`
	// StalenessBound, BatchSamples, GroupSize, MaxTokens and BufferBatches are the
	// pool's settings.
	StalenessBound uint64 `json:"staleness_bound"`
	BatchSamples   int    `json:"batch_samples"`
	GroupSize      int    `json:"group_size"`
	MaxTokens      int    `json:"max_tokens"`
	BufferBatches  int    `json:"buffer_batches"`
	// InFlight counts samples in generation, Scoring those at the scorer, and Buffered
	// those of complete groups that wait for the trainer.
	InFlight int `json:"in_flight"`
	Scoring  int `json:"scoring"`
	Buffered int `json:"buffered"`
	// Capacity is the number of samples the replicas can run at a time.
	Capacity int `json:"capacity"`
	// TrainerWaiting is set while the trainer waits for a batch that is not complete.
	TrainerWaiting bool `json:"trainer_waiting"`
	// LongSamples counts running samples of at least the plan's LongTokens.
	LongSamples int `json:"long_samples"`
	// MedianTokens and HighTokens are the median and 95th percentile of the lengths of
	// finished samples; 0 while too few have finished.
	MedianTokens int `json:"median_tokens"`
	HighTokens   int `json:"high_tokens"`
	// Replicas lists the pool's replicas (pool.replicas).
	Replicas []Replica `json:"replicas"`
}

// Replica is one entry of pool.replicas.
type Replica struct {
	ID   port.ReplicaID `json:"id"`
	Zone port.ZoneName  `json:"zone"`
	// Version is the weight version last reported; 0 means unknown.
	Version port.WeightVersion `json:"version"`
	// Running is the number of the replica's requests, Limit the maximum.
	Running int `json:"running"`
	Limit   int `json:"limit"`
}
