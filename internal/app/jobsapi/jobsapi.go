// Package jobsapi defines the calls about jobs that the groups of the shards serve, and
// their client, which locates a job's shard and the leader of its group.
package jobsapi

import (
	"fmt"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// MethodCall is the method that sends a Request to a store machine.
const MethodCall = "jobs.call"

// Request is a call about the jobs of a shard. Exactly one field besides Shard is set.
type Request struct {
	// Shard is the shard whose group is called. A machine of another shard rejects the call.
	Shard  sitestate.ShardNumber `cbor:"6,keyasint,omitempty"`
	Submit *jobstate.Submission  `cbor:"1,keyasint,omitempty"`
	Page   *PageRequest          `cbor:"2,keyasint,omitempty"`
	Body   *BodyRequest          `cbor:"3,keyasint,omitempty"`
	End    *EndRequest           `cbor:"4,keyasint,omitempty"`
	List   *ListRequest          `cbor:"5,keyasint,omitempty"`
}

// name returns the name of the call, for log lines.
func (r *Request) name() string {
	switch {
	case r.Submit != nil:
		return "submit"
	case r.Page != nil:
		return "page"
	case r.Body != nil:
		return "body"
	case r.End != nil:
		return "end"
	case r.List != nil:
		return "list"
	default:
		return "none"
	}
}

// PageRequest requests results from a position on.
type PageRequest struct {
	Job  string `cbor:"1,keyasint"`
	From int    `cbor:"2,keyasint"`
	// WaitMillis is how long to wait for a result to exist.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// MaxBytes limits the page's texts.
	MaxBytes int `cbor:"4,keyasint"`
	// FromFollower allows a follower to answer if it has a result from the position on:
	// results never change, so those of a follower are valid.
	FromFollower bool `cbor:"5,keyasint,omitempty"`
	// Access limits the jobs that the caller may access.
	Access *jobstate.Access `cbor:"6,keyasint,omitempty"`
	// Strict applies MaxBytes to a page of one result too: the answer then has its size only.
	Strict bool `cbor:"7,keyasint,omitempty"`
}

// BodyRequest requests the body of an item.
type BodyRequest struct {
	Job  string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
	// Access limits the jobs that the caller may access.
	Access *jobstate.Access `cbor:"3,keyasint,omitempty"`
	// MaxBytes, if set, limits the body: the answer to a request for a larger one has its size only.
	MaxBytes int `cbor:"4,keyasint,omitempty"`
}

// EndRequest ends a job.
type EndRequest struct {
	Job string `cbor:"1,keyasint"`
	// Access limits the jobs that the caller may access.
	Access *jobstate.Access `cbor:"2,keyasint,omitempty"`
}

// ListRequest requests an overview of all jobs.
type ListRequest struct{}

// Answer is the response to a Request.
type Answer struct {
	// NotLeader is set if the called member is not the leader. Leader is then the leader's
	// address, if known.
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Unknown is set if there is no such job or item.
	Unknown  bool                   `cbor:"3,keyasint,omitempty"`
	Accepted jobstate.AcceptOutcome `cbor:"4,keyasint,omitempty"`
	Page     jobstate.Page          `cbor:"5,keyasint,omitempty"`
	Body     []byte                 `cbor:"6,keyasint,omitempty"`
	Jobs     []JobSummary           `cbor:"7,keyasint,omitempty"`
	// Follower is set on a page from a follower.
	Follower bool `cbor:"8,keyasint,omitempty"`
	// Bytes is the size of a result or a body that is larger than MaxBytes, in place of it.
	Bytes int `cbor:"9,keyasint,omitempty"`
}

// SizeError reports a result or a body that is larger than MaxBytes of a request.
type SizeError struct{ Bytes int }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("the answer takes %d bytes", e.Bytes) }

// checkSize returns a SizeError if the answer is a size only.
func (a *Answer) checkSize() error {
	if a.Bytes > 0 {
		return &SizeError{Bytes: a.Bytes}
	}
	return nil
}

// JobSummary is the overview of one job.
type JobSummary struct {
	ID       string `cbor:"1,keyasint"`
	Items    int    `cbor:"2,keyasint"`
	Results  int    `cbor:"3,keyasint"`
	Errored  int    `cbor:"4,keyasint"`
	Ended    bool   `cbor:"5,keyasint"`
	Model    string `cbor:"6,keyasint"`
	Step     uint64 `cbor:"7,keyasint"`
	Accepted uint64 `cbor:"8,keyasint"`
}
