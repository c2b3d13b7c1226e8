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

// QueryLocal, set to true, reads this member's state without contacting the leader; the
// result may be stale.
const QueryLocal = "local"

// Backend is the control member behind the interface. Errors are *port.Error.
type Backend interface {
	// Propose commits a command through the log and returns its result.
	Propose(ctx context.Context, command port.Command) (port.Result, error)
	// View returns the control state: at least as recent as any change answered before
	// the call or, if local is set, this member's own.
	View(ctx context.Context, local bool) (*port.View, error)
	// History returns the accepted configuration changes, oldest first.
	History(ctx context.Context) ([]registry.HistoryEntry, error)
	// Ledger returns the delivery state of a pool.
	Ledger(ctx context.Context, pool port.PoolName) (port.LedgerState, error)
	// Reports collects the node reports of all members.
	Reports(ctx context.Context) (Reports, error)
	// Status returns this member's view of the group.
	Status(ctx context.Context) (Status, error)
	// ChangeMember adds, promotes or removes a control member.
	ChangeMember(ctx context.Context, change MemberChange) error
}

// NodeReport is the last report of a node.
type NodeReport struct {
	Report port.NodeReport `cbor:"1,keyasint" json:"report"`
	// AgeMillis is the age of the report.
	AgeMillis int64 `cbor:"2,keyasint" json:"age_ms"`
	// RevisionSince is when the node first reported this revision, in Unix milliseconds
	// by the clock of the member that received the report.
	RevisionSince int64 `cbor:"3,keyasint" json:"revision_since_ms"`
}

// Reports holds the node reports of the reachable members.
type Reports struct {
	Nodes []NodeReport
	// Unreachable lists members that did not answer; reports that only they received
	// are missing.
	Unreachable []uint64
}

// Config is the response to GET PathConfig.
type Config struct {
	Revision      port.Revision      `json:"revision"`
	Position      uint64             `json:"position"`
	Configuration port.Configuration `json:"configuration"`
}

// ConfigChange is the body of PUT PathConfig, with exactly one of Edits and
// Configuration. A complete configuration must start from the current revision and is
// converted to edits. Only changes with Edits are idempotent.
type ConfigChange struct {
	ExpectedRevision *port.Revision      `json:"expected_revision"`
	ChangeID         string              `json:"change_id"`
	Edits            []port.Edit         `json:"edits,omitempty"`
	Configuration    *port.Configuration `json:"configuration,omitempty"`
	Author           string              `json:"author,omitempty"`
	Note             string              `json:"note,omitempty"`
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Revision port.Revision `json:"revision"`
	// Index is the change's position in the replicated log.
	Index uint64 `json:"index"`
}

// ConflictBody is the response to a change that conflicts with an earlier one.
type ConflictBody struct {
	api.ErrorBody
	// Current is the current configuration.
	Current *Config `json:"current,omitempty"`
}

// ConfigHistory is the response to GET PathConfigHistory, oldest change first.
type ConfigHistory struct {
	Changes []registry.HistoryEntry `json:"changes"`
}

// States of a configuration revision at a node.
const (
	StateInForce = "in_force"
	StateBehind  = "behind"
	StateSilent  = "silent"
)

// ConfigStatus is the response to GET PathConfigStatus.
type ConfigStatus struct {
	Revision port.Revision `json:"revision"`
	// InForce, Behind and Silent count nodes.
	InForce int          `json:"in_force"`
	Behind  int          `json:"behind"`
	Silent  int          `json:"silent"`
	Nodes   []NodeConfig `json:"nodes"`
	// UnreachableMembers did not answer; nodes that report only to them count as
	// silent.
	UnreachableMembers []uint64 `json:"unreachable_members,omitempty"`
}

// NodeConfig reports the revision in force at a node.
type NodeConfig struct {
	Node     port.NodeID   `json:"node"`
	Zone     port.ZoneName `json:"zone"`
	State    string        `json:"state"`
	Revision port.Revision `json:"revision"`
	// Since is when the revision came into force there, in Unix milliseconds; 0 if
	// unknown.
	Since int64 `json:"since_ms"`
	// ReportAgeMillis is the age of the node's report, or -1 without a report.
	ReportAgeMillis int64 `json:"report_age_ms"`
}

// PublishWeights is the body of POST PathWeights.
type PublishWeights struct {
	Pool     port.PoolName      `json:"pool"`
	Version  port.WeightVersion `json:"version"`
	Bytes    uint64             `json:"bytes"`
	ChangeID string             `json:"change_id"`
}

// Weights is the response to GET PathWeights.
type Weights struct {
	Pools []PoolWeights `json:"pools"`
}

// PoolWeights reports a pool's published version and the versions being served.
type PoolWeights struct {
	port.PublishedWeights
	// Serving counts replicas by the version that they serve.
	Serving []port.ServingCount `json:"serving"`
}

// Pools is the response to GET PathPools.
type Pools struct {
	Pools []PoolSummary `json:"pools"`
}

// PoolSummary summarizes a pool.
type PoolSummary struct {
	Name     port.PoolName      `json:"name"`
	Kind     port.PoolKind      `json:"kind"`
	Replicas int                `json:"replicas"`
	Draining int                `json:"draining"`
	Version  port.WeightVersion `json:"version"`
}

// PoolDetail is the response to GET PathPool.
type PoolDetail struct {
	Pool     port.Pool           `json:"pool"`
	Replicas []port.Replica      `json:"replicas"`
	Weights  *PoolWeights        `json:"weights,omitempty"`
	Ledger   *port.LedgerState   `json:"ledger,omitempty"`
	Serving  []port.ServingCount `json:"serving,omitempty"`
}

// Replicas is the response to GET PathReplicas.
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

// Values of MemberAction.
const (
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberChange changes one control member of the group.
type MemberChange struct {
	Action MemberAction `cbor:"1,keyasint" json:"-"`
	// ID must be above every id ever used, for MemberAdd.
	ID uint64 `cbor:"2,keyasint" json:"id"`
	// Address is the new member's peer address, for MemberAdd.
	Address string `cbor:"3,keyasint,omitempty" json:"address"`
}

// Members is the response to GET PathMembers.
type Members struct {
	Members []Member `json:"members"`
}

// Member is a control member from the view of the member that answers.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Role is voter or learner.
	Role   string `json:"role"`
	Leader bool   `json:"leader"`
	// Match, Active, CaughtUp and SilentMillis are reported by the leader only.
	Match        uint64 `json:"match,omitempty"`
	Active       bool   `json:"active"`
	CaughtUp     bool   `json:"caught_up"`
	SilentMillis int64  `json:"silent_ms"`
}

// Status is the response to GET PathStatus.
type Status struct {
	Member uint64 `json:"member"`
	Role   string `json:"role"`
	Leader uint64 `json:"leader"`
	Term   uint64 `json:"term"`
	// QuorumActive reports whether this member is in contact with a quorum.
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
	// Syncs and Commits count from the start of the process.
	Syncs   uint64 `json:"syncs"`
	Commits uint64 `json:"commits"`
}
