package port

// Configuration is the document that operators change. Replicas are not nested in the
// pools, so that changing one replica is a small edit.
type Configuration struct {
	Pools    []Pool    `cbor:"1,keyasint" json:"pools"`
	Replicas []Replica `cbor:"2,keyasint" json:"replicas"`
	Tenants  []Tenant  `cbor:"3,keyasint,omitempty" json:"tenants,omitempty"`
	// MachineList is the base URL of the list of machines; empty means none.
	MachineList string `cbor:"4,keyasint,omitempty" json:"machine_list,omitempty"`
}

// PoolKind is the kind of service of a pool's replicas.
type PoolKind string

// The kinds of pool.
const (
	PoolGeneration  PoolKind = "generation"
	PoolApplication PoolKind = "application"
)

// Pool is a set of equal replicas with common settings.
type Pool struct {
	Name      PoolName  `cbor:"1,keyasint" json:"name"`
	Kind      PoolKind  `cbor:"2,keyasint" json:"kind"`
	Admission Admission `cbor:"3,keyasint" json:"admission"`
	Retry     Retry     `cbor:"4,keyasint" json:"retry"`
	Ejection  Ejection  `cbor:"5,keyasint" json:"ejection"`
	// RefuseUnconfirmed makes nodes with an expired configuration lease reject requests
	// to this pool. By default they serve them and mark the response.
	RefuseUnconfirmed bool `cbor:"6,keyasint,omitempty" json:"refuse_unconfirmed,omitempty"`
	// Sampling is set for pools that feed a trainer.
	Sampling *Sampling `cbor:"7,keyasint,omitempty" json:"sampling,omitempty"`
	// ReplicasOf, if set, makes this pool share the replicas of another generation pool,
	// so that several trainers can use the same engines. The pool then has no replicas of
	// its own.
	ReplicasOf PoolName `cbor:"8,keyasint,omitempty" json:"replicas_of,omitempty"`
	// Adapter, if set, is the adapter that this pool's requests use and its trainer
	// publishes. Versions are then those of the adapter.
	Adapter string `cbor:"9,keyasint,omitempty" json:"adapter,omitempty"`
}

// EnginePool returns the name of the pool whose replicas serve this one.
func (p *Pool) EnginePool() PoolName {
	if p.ReplicasOf != "" {
		return p.ReplicasOf
	}
	return p.Name
}

// Admission limits the running and waiting requests.
type Admission struct {
	// MinInflight and MaxInflight are the range of a replica's adaptive concurrency
	// limit.
	MinInflight int `cbor:"1,keyasint" json:"min_inflight"`
	MaxInflight int `cbor:"2,keyasint" json:"max_inflight"`
	// QueueLength limits the requests of this pool that wait at one node.
	QueueLength int `cbor:"3,keyasint" json:"queue_length"`
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline Duration `cbor:"4,keyasint" json:"default_deadline"`
}

// Retry limits retries.
type Retry struct {
	// MaxAttempts includes the first attempt; 1 disables retries.
	MaxAttempts int `cbor:"1,keyasint" json:"max_attempts"`
	// BudgetRatio is the allowed ratio of retries to successes.
	BudgetRatio float64  `cbor:"2,keyasint" json:"budget_ratio"`
	BaseBackoff Duration `cbor:"3,keyasint" json:"base_backoff"`
	MaxBackoff  Duration `cbor:"4,keyasint" json:"max_backoff"`
}

// Ejection configures when a replica is temporarily excluded from routing.
type Ejection struct {
	ConsecutiveFailures int `cbor:"1,keyasint" json:"consecutive_failures"`
	// LatencyFactor ejects replicas slower than this multiple of the pool's median; 0
	// disables the rule.
	LatencyFactor float64 `cbor:"2,keyasint" json:"latency_factor"`
	// BaseDuration is the duration of the first ejection; it doubles on each repeat.
	BaseDuration Duration `cbor:"3,keyasint" json:"base_duration"`
	// MaxShare limits the share of a pool that may be ejected at a time.
	MaxShare float64 `cbor:"4,keyasint" json:"max_share"`
}

// Sampling configures how a pool feeds its trainer.
type Sampling struct {
	// Policy is the Starlark source of the pool's policy program.
	Policy string `cbor:"1,keyasint" json:"policy"`
	// StalenessBound is the maximum age, in weight versions, of the oldest span of a
	// delivered sample.
	StalenessBound uint64 `cbor:"2,keyasint" json:"staleness_bound"`
	// BatchSamples is the number of samples of a batch, a multiple of GroupSize.
	BatchSamples int `cbor:"3,keyasint" json:"batch_samples"`
	// GroupSize is the number of samples of one prompt.
	GroupSize int `cbor:"4,keyasint" json:"group_size"`
	// MaxTokens limits the tokens generated for a sample.
	MaxTokens int `cbor:"5,keyasint" json:"max_tokens"`
	// PromptSource, Scorer and WeightStore are base URLs.
	PromptSource string `cbor:"6,keyasint" json:"prompt_source"`
	Scorer       string `cbor:"7,keyasint" json:"scorer"`
	WeightStore  string `cbor:"8,keyasint" json:"weight_store"`
	// Priority is the priority of the pool's generation requests.
	Priority Priority `cbor:"9,keyasint" json:"priority"`
	// BufferBatches limits the buffered finished samples, in batches.
	BufferBatches int `cbor:"10,keyasint" json:"buffer_batches"`
}

// ReplicaState is the state that operators set for a replica.
type ReplicaState string

// The states of a replica.
const (
	ReplicaActive ReplicaState = "active"
	ReplicaDrain  ReplicaState = "drain"
)

// Replica is a back end of a pool.
type Replica struct {
	ID   ReplicaID `cbor:"1,keyasint" json:"id"`
	Pool PoolName  `cbor:"2,keyasint" json:"pool"`
	Zone ZoneName  `cbor:"3,keyasint" json:"zone"`
	// Address is the IP:port of its HTTP service.
	Address string       `cbor:"4,keyasint" json:"address"`
	State   ReplicaState `cbor:"5,keyasint" json:"state"`
}

// Tenant is a caller with its own token.
type Tenant struct {
	Name TenantName `cbor:"1,keyasint" json:"name"`
	// TokenSHA256 is the hex SHA-256 of the tenant's token.
	TokenSHA256 string `cbor:"2,keyasint" json:"token_sha256"`
	// QueueShare is the share of a pool's queue that the tenant may use, above 0 up to 1.
	QueueShare float64 `cbor:"3,keyasint" json:"queue_share"`
}

// Edit is a change of a Configuration. Exactly one field is set.
type Edit struct {
	PutPool       *Pool     `cbor:"1,keyasint,omitempty" json:"put_pool,omitempty"`
	RemovePool    PoolName  `cbor:"2,keyasint,omitempty" json:"remove_pool,omitempty"`
	PutReplica    *Replica  `cbor:"3,keyasint,omitempty" json:"put_replica,omitempty"`
	RemoveReplica ReplicaID `cbor:"4,keyasint,omitempty" json:"remove_replica,omitempty"`
	// Tenants and MachineList replace the previous value.
	Tenants     *[]Tenant `cbor:"5,keyasint,omitempty" json:"tenants,omitempty"`
	MachineList *string   `cbor:"6,keyasint,omitempty" json:"machine_list,omitempty"`
}
