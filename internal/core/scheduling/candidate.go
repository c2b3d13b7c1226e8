package scheduling

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Candidate is what the caller knows of one replica at the time of a decision.
type Candidate struct {
	Replica port.ReplicaID
	Zone    port.ZoneName
	Region  port.RegionName
	// Home is the node that queues and judges the replica.
	Home port.NodeID

	// Version is what the replica last reported to serve, Staged what it has
	// loaded besides. VersionUnknown keeps the replica out of routing, as after
	// a swap that failed partway.
	Version        port.WeightVersion
	Staged         port.WeightVersion
	VersionUnknown bool
	Role           port.EngineRole
	Adapters       []string

	// Draining is an operator's order, Leaving the machine list's word.
	Draining bool
	Leaving  bool
	// Ejected and Probing are the home's verdict on health.
	Ejected bool
	Probing bool

	// Running and Waiting are the replica's own counts, ReportAge old.
	Running   int
	Waiting   int
	ReportAge time.Duration
	// Inflight is exact: requests that this node (at the home: any node) has
	// sent and not seen the end of. SentSinceReport and FinishedSinceReport
	// count those sent and ended after the report was made.
	Inflight            int
	SentSinceReport     int
	FinishedSinceReport int
	// InflightTokens is the number of tokens that requests in flight may still
	// add to the KV cache.
	InflightTokens int

	// KVUsed and KVTotal are in cache blocks, as reported; a KVTotal of 0 means
	// that the replica has no KV cache.
	KVUsed  int
	KVTotal int
	// Latency is the mean time that this node's own requests took at the
	// replica; 0 means not known.
	Latency time.Duration
	// Limit is the present concurrency limit; 0 means none.
	Limit int
}

// maxReportAge is the age in time after which a load report says nothing.
const maxReportAge = 10 * time.Second

// Load gives the replica's load in requests, corrected for the report's lag:
// the exact count of own requests in flight, plus those of others as far as
// the report shows them. Own requests that the report already counts are the
// ones in flight when it was made, and are not counted twice.
func (c *Candidate) Load() int {
	if c.ReportAge > maxReportAge {
		return c.Inflight
	}
	ownInReport := c.Inflight - c.SentSinceReport + c.FinishedSinceReport
	others := c.Running + c.Waiting - ownInReport
	return c.Inflight + max(others, 0)
}

// PrefixIndex tells how many leading blocks of a prompt a replica has cached.
type PrefixIndex interface {
	Match(hashes []uint64, replica port.ReplicaID) int
}

// Request is what the steps may ask about the request.
type Request struct {
	Pool port.PoolName
	// Zone and Region are those of the node that decides.
	Zone     port.ZoneName
	Region   port.RegionName
	Priority port.Priority
	// PromptTokens and MaxTokens bound the KV cache that the request needs.
	PromptTokens int
	MaxTokens    int
	// MinVersion is the oldest version that may serve; 0 means any known one.
	MinVersion port.WeightVersion
	// Adapter must be loaded; empty means none.
	Adapter string
	// Role is the phase wanted; empty means a replica that serves all phases.
	Role port.EngineRole
	// PrefixHashes are looked up in Prefix, which may be nil.
	PrefixHashes []uint64
	Prefix       PrefixIndex
	// Exclude names the replicas of earlier attempts.
	Exclude []port.ReplicaID
	// Record asks for Filtered and Scores in the Result.
	Record bool
}
