// Package jobsapi is what the store group serves to the other processes about
// jobs, and the client of it, which finds the group's leader.
package jobsapi

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// MethodCall takes a Request to a member of the store group.
const MethodCall = "jobs.call"

// Request is a call about jobs; one field is set.
type Request struct {
	Submit *jobstate.Submission `cbor:"1,keyasint,omitempty"`
	Page   *PageRequest         `cbor:"2,keyasint,omitempty"`
	Body   *BodyRequest         `cbor:"3,keyasint,omitempty"`
	End    *EndRequest          `cbor:"4,keyasint,omitempty"`
	List   *ListRequest         `cbor:"5,keyasint,omitempty"`
}

// PageRequest asks for results from a position on.
type PageRequest struct {
	Job  string `cbor:"1,keyasint"`
	From int    `cbor:"2,keyasint"`
	// WaitMillis is how long to wait for a result to exist.
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
	// MaxBytes bounds the page's texts.
	MaxBytes int `cbor:"4,keyasint"`
}

// BodyRequest asks for the body of an item.
type BodyRequest struct {
	Job  string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
}

// EndRequest ends a job.
type EndRequest struct {
	Job string `cbor:"1,keyasint"`
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

const (
	// attemptTimeout bounds one member's answer, beyond what it is asked to wait.
	attemptTimeout = 1200 * time.Millisecond
	roundPause     = 60 * time.Millisecond
)

// Client asks the store group.
type Client struct {
	pool   *wire.Pool
	stores func() []sitestate.Store

	mutex  sync.Mutex
	leader string
}

// NewClient makes a client; stores lists the store machines that are known.
func NewClient(options wire.Options, stores func() []sitestate.Store) *Client {
	return &Client{pool: wire.NewPool(options), stores: stores}
}

// Call asks members until the leader answers or the context ends. All calls are
// safe to repeat: a job is taken once. The error's verdict is NotRun only if no
// member can have taken the request.
func (c *Client) Call(ctx context.Context, request Request) (Answer, error) {
	verdict := port.NotRun
	last := eris.New("no store machine is known")
	for {
		queue := c.order()
		asked := map[string]bool{}
		for len(queue) > 0 {
			address := queue[0]
			queue = queue[1:]
			if address == "" || asked[address] {
				continue
			}
			asked[address] = true
			answer, err := c.ask(ctx, address, request)
			switch {
			case err == nil && !answer.NotLeader:
				c.setLeader(address)
				return answer, nil
			case err == nil:
				queue = slices.Insert(queue, 0, answer.Leader)
				last = eris.New("no member leads the store group")
			case isFinal(err):
				return Answer{}, err
			default:
				if port.AsError(err).Verdict != port.NotRun {
					verdict = port.MayHaveRun
				}
				last = err
			}
			if ctx.Err() != nil {
				break
			}
		}
		select {
		case <-time.After(roundPause):
		case <-ctx.Done():
			return Answer{}, port.NewError(verdict, port.CodeUnavailable, "%v", last)
		}
	}
}

// isFinal reports whether another member would say the same.
func isFinal(err error) bool {
	var refusal *port.Error
	return errors.As(err, &refusal) && (refusal.Code == port.CodeInvalid || refusal.Code == port.CodeQueueFull || refusal.Code == port.CodeTooLarge)
}

func (c *Client) ask(ctx context.Context, address string, request Request) (Answer, error) {
	limit := attemptTimeout
	if request.Page != nil {
		limit += time.Duration(request.Page.WaitMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var answer Answer
	err := c.pool.Client(address).Call(ctx, MethodCall, request, &answer)
	return answer, err
}

// order lists the members to ask, the last known leader first.
func (c *Client) order() []string {
	var addresses []string
	for _, store := range c.stores() {
		if store.State != sitestate.StoreEmptied {
			addresses = append(addresses, store.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" {
		addresses = slices.Insert(addresses, 0, c.leader)
	}
	return addresses
}

func (c *Client) setLeader(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader = address
}
