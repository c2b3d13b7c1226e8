package operatorapi

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Paths of the interface.
const (
	PathConfig        = "/v1/config"
	PathConfigHistory = "/v1/config/history"
	PathConfigStatus  = "/v1/config/status"
	PathWeights       = "/v1/weights"
	PathPools         = "/v1/pools"
	PathPool          = "/v1/pools/{pool}"
	PathReplicas      = "/v1/replicas"
	PathReplicaDrain  = "/v1/replicas/{id}/drain"
	PathReplicaReturn = "/v1/replicas/{id}/return"
	PathMembers       = "/v1/members"
	PathMember        = "/v1/members/{id}"
	PathMemberPromote = "/v1/members/{id}/promote"
	PathStatus        = "/v1/status"
)

// QueryLocal, set to true, reads this member's state without asking the
// leader; the answer may be old.
const QueryLocal = "local"

// Backend is the control member behind the interface. Errors are *port.Error.
type Backend interface {
	// Propose puts a command through the log.
	Propose(ctx context.Context, command port.Command) (port.Result, error)
	// View gives the control state: as new as any change answered before the
	// call, or with local set what this member has.
	View(ctx context.Context, local bool) (*port.View, error)
	// History gives the accepted configuration changes, oldest first.
	History(ctx context.Context) ([]registry.HistoryEntry, error)
	// Ledger gives the delivery state of a pool.
	Ledger(ctx context.Context, pool port.PoolName) (port.LedgerState, error)
	// Reports gathers what nodes reported to the members.
	Reports(ctx context.Context) (Reports, error)
	// Status gives this member's view of the group.
	Status(ctx context.Context) (Status, error)
	// ChangeMember adds, promotes or removes a control member.
	ChangeMember(ctx context.Context, change MemberChange) error
}

// NodeReport is the last report of a node.
type NodeReport struct {
	Report port.NodeReport `cbor:"1,keyasint" json:"report"`
	// AgeMillis is how long ago it came.
	AgeMillis int64 `cbor:"2,keyasint" json:"age_ms"`
	// RevisionSince is when the node first reported this revision, in
	// milliseconds since 1970 by the clock of the member that it told.
	RevisionSince int64 `cbor:"3,keyasint" json:"revision_since_ms"`
}

// Reports is what the reachable members know of the nodes.
type Reports struct {
	Nodes []NodeReport
	// Unreachable lists members that did not answer; what nodes told only them
	// is missing.
	Unreachable []uint64
}

// Config answers GET PathConfig.
type Config struct {
	Revision      port.Revision      `json:"revision"`
	Position      uint64             `json:"position"`
	Configuration port.Configuration `json:"configuration"`
}

// ConfigChange is the body of PUT PathConfig. Exactly one of Edits and
// Configuration is given; a whole configuration must start from the present
// revision and is turned into edits. A resend is recognised for edits only.
type ConfigChange struct {
	ExpectedRevision *port.Revision      `json:"expected_revision"`
	ChangeID         string              `json:"change_id"`
	Edits            []port.Edit         `json:"edits,omitempty"`
	Configuration    *port.Configuration `json:"configuration,omitempty"`
	Author           string              `json:"author,omitempty"`
	Note             string              `json:"note,omitempty"`
}

// Accepted answers a change that was accepted.
type Accepted struct {
	Revision port.Revision `json:"revision"`
	// Index is the change's position in the replicated log.
	Index uint64 `json:"index"`
}

// ConflictBody answers a change that another one came before.
type ConflictBody struct {
	api.ErrorBody
	// Current is the configuration in force.
	Current *Config `json:"current,omitempty"`
}

// ConfigHistory answers GET PathConfigHistory, oldest change first.
type ConfigHistory struct {
	Changes []registry.HistoryEntry `json:"changes"`
}

// States of a revision at a node.
const (
	StateInForce = "in_force"
	StateBehind  = "behind"
	StateSilent  = "silent"
)

// ConfigStatus answers GET PathConfigStatus.
type ConfigStatus struct {
	Revision port.Revision `json:"revision"`
	// InForce, Behind and Silent count nodes.
	InForce int          `json:"in_force"`
	Behind  int          `json:"behind"`
	Silent  int          `json:"silent"`
	Nodes   []NodeConfig `json:"nodes"`
	// UnreachableMembers did not answer; nodes that only they hear of count as
	// silent.
	UnreachableMembers []uint64 `json:"unreachable_members,omitempty"`
}

// NodeConfig says which revision is in force at a node.
type NodeConfig struct {
	Node     port.NodeID   `json:"node"`
	Zone     port.ZoneName `json:"zone"`
	State    string        `json:"state"`
	Revision port.Revision `json:"revision"`
	// Since is when the revision came into force there, in milliseconds since
	// 1970; 0 if the node is not known to have any.
	Since int64 `json:"since_ms"`
	// ReportAgeMillis is how old the node's report is; -1 means that there is
	// none.
	ReportAgeMillis int64 `json:"report_age_ms"`
}

// PublishWeights is the body of POST PathWeights.
type PublishWeights struct {
	Pool     port.PoolName      `json:"pool"`
	Version  port.WeightVersion `json:"version"`
	Bytes    uint64             `json:"bytes"`
	ChangeID string             `json:"change_id"`
}

// Weights answers GET PathWeights.
type Weights struct {
	Pools []PoolWeights `json:"pools"`
}

// PoolWeights says which versions of a pool's weights are where.
type PoolWeights struct {
	port.PublishedWeights
	// Serving counts replicas by the version that they serve.
	Serving []port.ServingCount `json:"serving"`
}

// Pools answers GET PathPools.
type Pools struct {
	Pools []PoolSummary `json:"pools"`
}

// PoolSummary is one line about a pool.
type PoolSummary struct {
	Name     port.PoolName      `json:"name"`
	Kind     port.PoolKind      `json:"kind"`
	Replicas int                `json:"replicas"`
	Draining int                `json:"draining"`
	Version  port.WeightVersion `json:"version"`
}

// PoolDetail answers GET PathPool.
type PoolDetail struct {
	Pool     port.Pool           `json:"pool"`
	Replicas []port.Replica      `json:"replicas"`
	Weights  *PoolWeights        `json:"weights,omitempty"`
	Ledger   *port.LedgerState   `json:"ledger,omitempty"`
	Serving  []port.ServingCount `json:"serving,omitempty"`
}

// Replicas answers GET PathReplicas.
type Replicas struct {
	Revision port.Revision  `json:"revision"`
	Replicas []port.Replica `json:"replicas"`
}

// ReplicaChange is the body of POST PathReplicaDrain and PathReplicaReturn.
type ReplicaChange struct {
	ExpectedRevision *port.Revision `json:"expected_revision"`
	ChangeID         string         `json:"change_id"`
	Author           string         `json:"author,omitempty"`
	Note             string         `json:"note,omitempty"`
}

// MemberAction is what a MemberChange does.
type MemberAction string

// The actions.
const (
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberChange changes the group of control members by one.
type MemberChange struct {
	Action MemberAction `cbor:"1,keyasint" json:"-"`
	// ID must be above every id that was ever used, for MemberAdd.
	ID uint64 `cbor:"2,keyasint" json:"id"`
	// Address is the new member's peer address, for MemberAdd.
	Address string `cbor:"3,keyasint,omitempty" json:"address"`
}

// Members answers GET PathMembers.
type Members struct {
	Members []Member `json:"members"`
}

// Member is one control member as the asked one sees it.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Role is voter or learner.
	Role   string `json:"role"`
	Leader bool   `json:"leader"`
	// Match, Active, CaughtUp and SilentMillis are known to the leader alone.
	Match        uint64 `json:"match,omitempty"`
	Active       bool   `json:"active"`
	CaughtUp     bool   `json:"caught_up"`
	SilentMillis int64  `json:"silent_ms"`
}

// Status answers GET PathStatus.
type Status struct {
	Member uint64 `json:"member"`
	Role   string `json:"role"`
	Leader uint64 `json:"leader"`
	Term   uint64 `json:"term"`
	// QuorumActive says that this member is in touch with a quorum.
	QuorumActive  bool          `json:"quorum_active"`
	SilentMillis  int64         `json:"silent_ms"`
	Commit        uint64        `json:"commit"`
	Applied       uint64        `json:"applied"`
	LastIndex     uint64        `json:"last_index"`
	SnapshotIndex uint64        `json:"snapshot_index"`
	Revision      port.Revision `json:"revision"`
	Position      uint64        `json:"position"`
	Nodes         int           `json:"nodes"`
	Watches       int           `json:"watches"`
	Members       []Member      `json:"members"`
	// Syncs and Commits count since the start of the process.
	Syncs   uint64 `json:"syncs"`
	Commits uint64 `json:"commits"`
}
