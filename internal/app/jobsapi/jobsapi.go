// Package jobsapi is what the groups of the shards serve to the other processes about
// jobs, and the client of it, which finds a job's shard and the leader of its group.
package jobsapi

import (
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// MethodCall takes a Request to a store machine.
const MethodCall = "jobs.call"

// Request is a call about the jobs of a shard; one field beside Shard is set.
type Request struct {
	// Shard is the one whose group is asked. A machine of another one refuses.
	Shard  sitestate.ShardNumber `cbor:"6,keyasint,omitempty"`
	Submit *jobstate.Submission  `cbor:"1,keyasint,omitempty"`
	Page   *PageRequest          `cbor:"2,keyasint,omitempty"`
	Body   *BodyRequest          `cbor:"3,keyasint,omitempty"`
	End    *EndRequest           `cbor:"4,keyasint,omitempty"`
	List   *ListRequest          `cbor:"5,keyasint,omitempty"`
}

// PageRequest asks for results from a position on.
type PageRequest struct {
	Job  string `cbor:"1,keyasint"`
	From int    `cbor:"2,keyasint"`
	// WaitMillis is how long to wait for a result to exist.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// MaxBytes bounds the page's texts.
	MaxBytes int `cbor:"4,keyasint"`
	// FromFollower allows a member that does not lead to answer, if it has a result from
	// the position on: listed results never change, wherever they are read.
	FromFollower bool `cbor:"5,keyasint,omitempty"`
	// Access bounds the jobs that can be reached.
	Access *jobstate.Access `cbor:"6,keyasint,omitempty"`
}

// BodyRequest asks for the body of an item.
type BodyRequest struct {
	Job  string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
	// Access bounds the jobs that can be reached.
	Access *jobstate.Access `cbor:"3,keyasint,omitempty"`
}

// EndRequest ends a job.
type EndRequest struct {
	Job string `cbor:"1,keyasint"`
	// Access bounds the jobs that can be reached.
	Access *jobstate.Access `cbor:"2,keyasint,omitempty"`
}

// ListRequest asks for an overview of all jobs.
type ListRequest struct{}

// Answer answers a Request.
type Answer struct {
	// NotLeader is set if the asked member does not lead; Leader is the address
	// of the one that does, if it knows.
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Unknown is set if there is no such job or item.
	Unknown  bool                   `cbor:"3,keyasint,omitempty"`
	Accepted jobstate.AcceptOutcome `cbor:"4,keyasint,omitempty"`
	Page     jobstate.Page          `cbor:"5,keyasint,omitempty"`
	Body     []byte                 `cbor:"6,keyasint,omitempty"`
	Jobs     []JobSummary           `cbor:"7,keyasint,omitempty"`
	// Follower is set on a page of a member that does not lead.
	Follower bool `cbor:"8,keyasint,omitempty"`
}

// JobSummary is one job of an overview.
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
