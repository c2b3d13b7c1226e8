package scheduling

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Candidate holds the known state of one replica at the time of a decision.
type Candidate struct {
	Replica port.ReplicaID
	Zone    port.ZoneName
	Region  port.RegionName
	// Home is the node that queues the replica's requests and checks its health.
	Home port.NodeID

	// Version is the weight version that the replica last reported to serve, Staged the
	// one it has loaded in addition. VersionUnknown excludes the replica from routing, as
	// after a swap that failed partway.
	Version        port.WeightVersion
	Staged         port.WeightVersion
	VersionUnknown bool
	Role           port.EngineRole
	Adapters       []string

	// Draining is set by an operator, Leaving by the machine list.
	Draining bool
	Leaving  bool
	// Ejected and Probing are the health state at the home node.
	Ejected bool
	Probing bool

	// Running and Waiting are the replica's own counts; ReportAge is their age.
	Running   int
	Waiting   int
	ReportAge time.Duration
	// Inflight is the exact number of unfinished requests sent by this node, or by all
	// nodes if this is the home node. SentSinceReport and FinishedSinceReport count the
	// requests sent and finished after the report.
	Inflight            int
	SentSinceReport     int
	FinishedSinceReport int
	// InflightTokens is the number of tokens that requests in flight may still add to
	// the KV cache.
	InflightTokens int

	// KVUsed and KVTotal are in cache blocks, as reported; KVTotal is 0 for a replica
	// without a KV cache.
	KVUsed  int
	KVTotal int
	// Latency is the mean latency of this node's own requests at the replica; 0 means
	// unknown.
	Latency time.Duration
	// Limit is the concurrency limit; 0 means none.
	Limit int
}

// maxReportAge is the age above which a load report is ignored.
const maxReportAge = 10 * time.Second

// Load returns the replica's load in requests: the exact count of this node's requests
// in flight, plus the requests of others in the report. This node's requests that the
// report includes are not counted twice.
func (c *Candidate) Load() int {
	if c.ReportAge > maxReportAge {
		return c.Inflight
	}
	ownInReport := c.Inflight - c.SentSinceReport + c.FinishedSinceReport
	others := c.Running + c.Waiting - ownInReport
	return c.Inflight + max(others, 0)
}

// PrefixIndex returns how many leading blocks of a prompt a replica has cached.
type PrefixIndex interface {
	Match(hashes []uint64, replica port.ReplicaID) int
}

// Request holds the properties of a request that filters and scorers use.
type Request struct {
	Pool port.PoolName
	// Zone and Region are those of the deciding node.
	Zone     port.ZoneName
	Region   port.RegionName
	Priority port.Priority
	// PromptTokens and MaxTokens limit the request's KV cache use.
	PromptTokens int
	MaxTokens    int
	// MinVersion is the oldest weight version that may serve; 0 means any known one.
	MinVersion port.WeightVersion
	// Adapter is the adapter that must be loaded; empty means none.
	Adapter string
	// Role is the required phase; empty means a replica that serves all phases.
	Role port.EngineRole
	// PrefixHashes are matched against Prefix, which may be nil.
	PrefixHashes []uint64
	Prefix       PrefixIndex
	// Exclude lists the replicas of earlier attempts.
	Exclude []port.ReplicaID
	// Record requests Result.Filtered and Result.Scores.
	Record bool
}
