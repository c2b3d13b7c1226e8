package scheduling

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Filter removes replicas from a decision.
type Filter interface {
	// Name is the filter's name in decision records.
	Name() string
	// Keep reports whether the replica may serve the request.
	Keep(request *Request, candidate *Candidate) bool
}

// Names of the filters in decision records.
const (
	FilterHealth   = "ejected"
	FilterLeaving  = "leaving"
	FilterDraining = "draining"
	FilterRole     = "role"
	FilterVersion  = "version"
	FilterAdapter  = "adapter"
	FilterLimit    = "at limit"
	FilterExcluded = "tried before"
)

// Health drops ejected replicas. A replica in probing gets a single request at a time.
type Health struct{}

// Name implements Filter.
func (Health) Name() string { return FilterHealth }

// Keep implements Filter.
func (Health) Keep(_ *Request, candidate *Candidate) bool {
	if candidate.Probing {
		return candidate.Inflight == 0
	}
	return !candidate.Ejected
}

// Leaving drops replicas that the machine list marks as leaving.
type Leaving struct{}

// Name implements Filter.
func (Leaving) Name() string { return FilterLeaving }

// Keep implements Filter.
func (Leaving) Keep(_ *Request, candidate *Candidate) bool { return !candidate.Leaving }

// Draining drops replicas that an operator is draining.
type Draining struct{}

// Name implements Filter.
func (Draining) Name() string { return FilterDraining }

// Keep implements Filter.
func (Draining) Keep(_ *Request, candidate *Candidate) bool { return !candidate.Draining }

// Role drops replicas that do not serve the required phase.
type Role struct{}

// Name implements Filter.
func (Role) Name() string { return FilterRole }

// Keep implements Filter.
func (Role) Keep(request *Request, candidate *Candidate) bool {
	if candidate.Role == "" || candidate.Role == port.RoleBoth {
		return true
	}
	return candidate.Role == request.Role
}

// Version drops replicas whose weight version is unknown or older than required.
type Version struct{}

// Name implements Filter.
func (Version) Name() string { return FilterVersion }

// Keep implements Filter.
func (Version) Keep(request *Request, candidate *Candidate) bool {
	return !candidate.VersionUnknown && candidate.Version >= request.MinVersion
}

// Adapter drops replicas that have not loaded the required adapter.
type Adapter struct{}

// Name implements Filter.
func (Adapter) Name() string { return FilterAdapter }

// Keep implements Filter.
func (Adapter) Keep(request *Request, candidate *Candidate) bool {
	return request.Adapter == "" || slices.Contains(candidate.Adapters, request.Adapter)
}

// Limit drops replicas at their concurrency limit.
type Limit struct{}

// Name implements Filter.
func (Limit) Name() string { return FilterLimit }

// Keep implements Filter.
func (Limit) Keep(_ *Request, candidate *Candidate) bool {
	return candidate.Limit <= 0 || candidate.Inflight < candidate.Limit
}

// Excluded drops the replicas of earlier attempts.
type Excluded struct{}

// Name implements Filter.
func (Excluded) Name() string { return FilterExcluded }

// Keep implements Filter.
func (Excluded) Keep(request *Request, candidate *Candidate) bool {
	return len(request.Exclude) == 0 || !slices.Contains(request.Exclude, candidate.Replica)
}
