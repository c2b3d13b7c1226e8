// Package dialect says how the product's own terms are named and encoded where
// it meets callers, replicas and operators. A Dialect holds names, formats and
// calls and takes no decision. The product works with any; the repository's root
// has one for its users' platform.
package dialect

import (
	"github.com/loomgrade/loomgrade/internal/core/balance"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/usage"
)

// Headers are the names of the HTTP headers that the product reads or sets.
type Headers struct {
	// RequestID names a request; every try of a client has its own.
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
	// Seal signs a replica's answer.
	Signature string
	// ExpectInstance makes every replica but the named one refuse.
	ExpectedInstance string
	// NotRun marks a refusal that did not run the request.
	NotRun string
	// LastEvent is the id of the last event that the caller has.
	LastEventID string
	// WeightVersion is the weight version that made an answer, and its name in
	// lower case begins an event from which on it changed.
	WeightVersion string
	// Key is a caller's key, and Tenant tells a replica whose request it runs. Where
	// tenants are configured, the key is never passed on and the tenant is that of the key.
	Key    string
	Tenant string
	// Load is what a replica says of its load with an answer; ReadLoad reads it.
	Load string
	// Holder and Fence say who calls the provider, and in which term.
	LeaseHolder  string
	FencingToken string
}

// Call is an HTTP request to a replica or to the provider.
type Call struct {
	Method string
	Path   string
	Body   []byte
}

// Order asks a replica to load a version of a model's weights.
type Order struct {
	Model   string
	Version uint64
	// Holder and Fence say who orders, and in which term.
	LeaseHolder  string
	FencingToken uint64
	// ExpectedOrders is how many orders the replica has taken; it refuses if
	// there were others meanwhile.
	ExpectedOrderCount uint64
}

// Report is what a replica says of itself when asked.
type Report struct {
	Models []sitestate.ModelVersion
	// Loading is set while an order is under way.
	Loading bool
	// Orders is how many orders it has taken.
	OrderCount uint64
	Running    int
	Waiting    int
}

// Dialect names and encodes.
type Dialect interface {
	Headers() Headers
	// DecodeConfiguration reads a whole configuration. It need not be valid.
	DecodeConfiguration(raw []byte) (*routing.Document, error)
	// DecodeJob reads a job's body; id, host and path come from its request.
	DecodeJob(body []byte) (jobstate.Submission, error)
	// ReadLoad reads the value of Headers.Load; ok is false if it cannot be read.
	ReadLoad(value string) (load balance.Load, ok bool)
	// OrderCall encodes an order.
	OrderCall(order Order) (Call, error)
	// ReportCall asks for a Report, which DecodeReport reads.
	ReportCall() Call
	DecodeReport(body []byte) (Report, error)
	// UsageCall tells the provider how many requests of each tenant began in a window.
	UsageCall(total usage.Total) (Call, error)
}
