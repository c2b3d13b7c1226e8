// Package dialect defines how the product's terms are named and encoded in its
// interfaces to callers, replicas and operators. A Dialect holds names, formats and
// calls and makes no decisions. The product works with any dialect; the package at
// the repository's root implements the one of its users' platform.
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
	// RequestID identifies a request; each attempt of a client has its own.
	RequestID string
	// Deadline is the caller's timeout in milliseconds.
	Deadline string
	// Signature is the signature of a replica's response.
	Signature string
	// ExpectedInstance makes every replica except the named one reject the request.
	ExpectedInstance string
	// NotRun marks the rejection of a request that did not run.
	NotRun string
	// LastEventID is the id of the last event that the caller received.
	LastEventID string
	// WeightVersion is the weight version that produced a response. Its name in
	// lower case starts the event from which the version changed.
	WeightVersion string
	// Key is a caller's API key, and Tenant the tenant whose request a replica runs.
	// Where tenants are configured, the key determines the tenant and is not
	// forwarded.
	Key    string
	Tenant string
	// Load is a replica's load, sent with a response; ReadLoad decodes it.
	Load string
	// LeaseHolder and FencingToken identify the caller of the provider and its term.
	LeaseHolder  string
	FencingToken string
}

// Call is an HTTP request to a replica or to the provider.
type Call struct {
	Method string
	Path   string
	Body   []byte
}

// Order is a command to a replica to load a version of a model's weights.
type Order struct {
	Model   string
	Version uint64
	// LeaseHolder and FencingToken identify the sender and its term.
	LeaseHolder  string
	FencingToken uint64
	// ExpectedOrderCount is the number of orders that the replica has accepted; it
	// rejects this one if the number differs.
	ExpectedOrderCount uint64
}

// Report is a replica's status report.
type Report struct {
	Models []sitestate.ModelVersion
	// Loading is set while an order is in progress.
	Loading bool
	// OrderCount is the number of orders that the replica has accepted.
	OrderCount uint64
	Running    int
	Waiting    int
}

// Dialect names and encodes the product's terms.
type Dialect interface {
	Headers() Headers
	// DecodeConfiguration decodes a complete configuration without validating it.
	DecodeConfiguration(raw []byte) (*routing.Document, error)
	// DecodeJob decodes a job's body; id, host and path come from its request. An error is a
	// *port.Error with the verdict NotRun; its code is CodeTooLarge if the job cannot be stored.
	DecodeJob(body []byte) (jobstate.Submission, error)
	// JobCost returns the memory in bytes that DecodeJob takes for a body, beside the body.
	JobCost(body []byte) int64
	// ReadLoad decodes the value of Headers.Load; ok is false if it is invalid.
	ReadLoad(value string) (load balance.Load, ok bool)
	// OrderCall encodes an order.
	OrderCall(order Order) (Call, error)
	// ReportCall requests a Report, which DecodeReport decodes.
	ReportCall() Call
	DecodeReport(body []byte) (Report, error)
	// UsageCall reports to the provider how many requests of each tenant started in
	// a window.
	UsageCall(total usage.Total) (Call, error)
}
