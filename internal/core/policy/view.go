package policy

import "github.com/loomgrade/loomgrade/internal/port"

// View is what a program sees of its pool, as the fields of its argument.
type View struct {
	// Name is the pool's name (pool.name).
	Name port.PoolName
	// Version is the trainer's published weight version (pool.version).
	Version port.WeightVersion
	// StalenessBound, BatchSamples, GroupSize, MaxTokens and BufferBatches are
	// the pool's settings (pool.staleness_bound, and so on).
	StalenessBound uint64
	BatchSamples   int
	GroupSize      int
	MaxTokens      int
	BufferBatches  int
	// InFlight counts samples being generated, Scoring those at the scorer and
	// Buffered those of whole groups that wait for the trainer.
	InFlight int
	Scoring  int
	Buffered int
	// Capacity is the number of samples the replicas can run at a time.
	Capacity int
	// TrainerWaiting says that the trainer asked for a batch that is not whole.
	TrainerWaiting bool
	// LongSamples counts running samples over the long-sample threshold in force.
	LongSamples int
	// MedianTokens and HighTokens are the median and 95th percentile of finished
	// lengths (pool.median_tokens, pool.high_tokens); 0 until some finished.
	MedianTokens int
	HighTokens   int
	// Replicas lists the pool's replicas (pool.replicas).
	Replicas []Replica
}

// Replica is one entry of pool.replicas.
type Replica struct {
	ID   port.ReplicaID
	Zone port.ZoneName
	// Version is what the replica last reported to serve; 0 is not known.
	Version port.WeightVersion
	// Running counts its requests, Limit bounds them.
	Running int
	Limit   int
}
