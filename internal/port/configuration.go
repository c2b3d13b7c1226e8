package port

// Configuration is the document that operators change. Replicas stand beside
// the pools, not inside them, so that a change of one replica travels as one
// small edit.
type Configuration struct {
	Pools    []Pool    `cbor:"1,keyasint" json:"pools"`
	Replicas []Replica `cbor:"2,keyasint" json:"replicas"`
	Tenants  []Tenant  `cbor:"3,keyasint,omitempty" json:"tenants,omitempty"`
	// MachineList is the base URL of the list of machines; empty means none.
	MachineList string `cbor:"4,keyasint,omitempty" json:"machine_list,omitempty"`
}

// PoolKind says what a pool's replicas serve.
type PoolKind string

// The kinds of pool.
const (
	PoolGeneration  PoolKind = "generation"
	PoolApplication PoolKind = "application"
)

// Pool is a set of like replicas with one set of rules.
type Pool struct {
	Name      PoolName  `cbor:"1,keyasint" json:"name"`
	Kind      PoolKind  `cbor:"2,keyasint" json:"kind"`
	Admission Admission `cbor:"3,keyasint" json:"admission"`
	Retry     Retry     `cbor:"4,keyasint" json:"retry"`
	Ejection  Ejection  `cbor:"5,keyasint" json:"ejection"`
	// RefuseUnconfirmed makes nodes whose configuration lease ran out refuse
	// this pool's callers; by default they serve and mark the answer.
	RefuseUnconfirmed bool `cbor:"6,keyasint,omitempty" json:"refuse_unconfirmed,omitempty"`
	// Sampling is set for pools that feed a trainer.
	Sampling *Sampling `cbor:"7,keyasint,omitempty" json:"sampling,omitempty"`
	// ReplicasOf, if set, makes this pool share the replicas of another
	// generation pool, so that several trainers can feed from one set of
	// engines; the pool then has no replicas of its own.
	ReplicasOf PoolName `cbor:"8,keyasint,omitempty" json:"replicas_of,omitempty"`
	// Adapter, if set, is the adapter that this pool's requests use and its
	// trainer publishes; versions are then the adapter's, not the base model's.
	Adapter string `cbor:"9,keyasint,omitempty" json:"adapter,omitempty"`
}

// EnginePool names the pool whose replicas serve this one.
func (p *Pool) EnginePool() PoolName {
	if p.ReplicasOf != "" {
		return p.ReplicasOf
	}
	return p.Name
}

// Admission bounds what waits and what runs.
type Admission struct {
	// MaxInflight bounds requests running on one replica at a time; the
	// adaptive limit moves between MinInflight and it.
	MinInflight int `cbor:"1,keyasint" json:"min_inflight"`
	MaxInflight int `cbor:"2,keyasint" json:"max_inflight"`
	// QueueLength bounds requests waiting at one node for this pool.
	QueueLength int `cbor:"3,keyasint" json:"queue_length"`
	// DefaultDeadline holds for a request that names none.
	DefaultDeadline Duration `cbor:"4,keyasint" json:"default_deadline"`
}

// Retry bounds repeated attempts.
type Retry struct {
	// MaxAttempts counts the first attempt too; 1 switches retries off.
	MaxAttempts int `cbor:"1,keyasint" json:"max_attempts"`
	// BudgetRatio is the share of successes that may be spent on retries.
	BudgetRatio float64  `cbor:"2,keyasint" json:"budget_ratio"`
	BaseBackoff Duration `cbor:"3,keyasint" json:"base_backoff"`
	MaxBackoff  Duration `cbor:"4,keyasint" json:"max_backoff"`
}

// Ejection says when a replica gets no more requests for a while.
type Ejection struct {
	ConsecutiveFailures int `cbor:"1,keyasint" json:"consecutive_failures"`
	// LatencyFactor ejects a replica slower than this many times the pool's
	// median; 0 switches the rule off.
	LatencyFactor float64 `cbor:"2,keyasint" json:"latency_factor"`
	// BaseDuration is the first ejection's length; it doubles on each repeat.
	BaseDuration Duration `cbor:"3,keyasint" json:"base_duration"`
	// MaxShare bounds the share of a pool that may be ejected at a time.
	MaxShare float64 `cbor:"4,keyasint" json:"max_share"`
}

// Sampling says how a pool feeds its trainer.
type Sampling struct {
	// Policy is the Starlark source of the pool's policy program.
	Policy string `cbor:"1,keyasint" json:"policy"`
	// StalenessBound is the largest allowed age, in weight versions, of the
	// oldest span of a delivered sample.
	StalenessBound uint64 `cbor:"2,keyasint" json:"staleness_bound"`
	// BatchSamples is the number of samples of a batch, a multiple of GroupSize.
	BatchSamples int `cbor:"3,keyasint" json:"batch_samples"`
	// GroupSize is the number of samples of one prompt.
	GroupSize int `cbor:"4,keyasint" json:"group_size"`
	// MaxTokens bounds the tokens generated for a sample.
	MaxTokens int `cbor:"5,keyasint" json:"max_tokens"`
	// PromptSource, Scorer and WeightStore are base URLs.
	PromptSource string `cbor:"6,keyasint" json:"prompt_source"`
	Scorer       string `cbor:"7,keyasint" json:"scorer"`
	WeightStore  string `cbor:"8,keyasint" json:"weight_store"`
	// Priority is that of the pool's generation requests among callers'.
	Priority Priority `cbor:"9,keyasint" json:"priority"`
	// BufferBatches bounds finished samples that wait, in batches.
	BufferBatches int `cbor:"10,keyasint" json:"buffer_batches"`
}

// ReplicaState is what operators ordered for a replica.
type ReplicaState string

// The states of a replica.
const (
	ReplicaActive ReplicaState = "active"
	ReplicaDrain  ReplicaState = "drain"
)

// Replica is one back end of a pool.
type Replica struct {
	ID   ReplicaID `cbor:"1,keyasint" json:"id"`
	Pool PoolName  `cbor:"2,keyasint" json:"pool"`
	Zone ZoneName  `cbor:"3,keyasint" json:"zone"`
	// Address is IP:port of its HTTP service.
	Address string       `cbor:"4,keyasint" json:"address"`
	State   ReplicaState `cbor:"5,keyasint" json:"state"`
}

// Tenant is a caller with a token of its own.
type Tenant struct {
	Name TenantName `cbor:"1,keyasint" json:"name"`
	// TokenSHA256 is the hex SHA-256 of the tenant's token.
	TokenSHA256 string `cbor:"2,keyasint" json:"token_sha256"`
	// QueueShare is the share of a pool's queue the tenant may fill, over 0 up to 1.
	QueueShare float64 `cbor:"3,keyasint" json:"queue_share"`
}

// Edit is one change of a Configuration: exactly one field is set.
type Edit struct {
	PutPool       *Pool     `cbor:"1,keyasint,omitempty" json:"put_pool,omitempty"`
	RemovePool    PoolName  `cbor:"2,keyasint,omitempty" json:"remove_pool,omitempty"`
	PutReplica    *Replica  `cbor:"3,keyasint,omitempty" json:"put_replica,omitempty"`
	RemoveReplica ReplicaID `cbor:"4,keyasint,omitempty" json:"remove_replica,omitempty"`
	// Tenants and MachineList replace the whole list or address.
	Tenants     *[]Tenant `cbor:"5,keyasint,omitempty" json:"tenants,omitempty"`
	MachineList *string   `cbor:"6,keyasint,omitempty" json:"machine_list,omitempty"`
}
