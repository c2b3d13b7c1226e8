package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	maxAnswerBytes    = 16 << 20
	clientDialTimeout = 2 * time.Second
	// clientAttemptTimeout limits the wait for one member, which may be unreachable;
	// changes are idempotent, so the next member can retry.
	clientAttemptTimeout = 5 * time.Second
	clientTimeout        = 30 * time.Second
	clientBackoffBase    = 100 * time.Millisecond
	clientBackoffMax     = 2 * time.Second
)

// ErrNoServers is returned by NewClient if the list of addresses is empty.
var ErrNoServers = errors.New("no operator addresses of control members")

// Client calls the operator API of any control member. If a member cannot serve a call
// or does not answer in time, the client retries at the next one; change ids make
// retried changes idempotent. Errors are *port.Error, whose verdict covers all attempts.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	// preferred is the index of the member that answered last; calls start with it.
	preferred atomic.Int64
}

// NewClient returns a client for members at IP:port addresses.
func NewClient(servers []string, token string) (*Client, error) {
	if len(servers) == 0 {
		return nil, ErrNoServers
	}
	dialer := &net.Dialer{Timeout: clientDialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{servers: servers, token: token, http: httpcall.CheckedClient(transport, clientAttemptTimeout)}, nil
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (Config, error) {
	return call[Config](ctx, c, http.MethodGet, PathConfig, nil)
}

// ChangeConfig makes a configuration change.
func (c *Client) ChangeConfig(ctx context.Context, change ConfigChange) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPut, PathConfig, change)
}

// History returns the accepted changes, oldest first.
func (c *Client) History(ctx context.Context) (ConfigHistory, error) {
	return call[ConfigHistory](ctx, c, http.MethodGet, PathConfigHistory, nil)
}

// ConfigStatus returns the revision of each node.
func (c *Client) ConfigStatus(ctx context.Context) (ConfigStatus, error) {
	return call[ConfigStatus](ctx, c, http.MethodGet, PathConfigStatus, nil)
}

// Weights returns the published versions and the replicas that serve each.
func (c *Client) Weights(ctx context.Context) (Weights, error) {
	return call[Weights](ctx, c, http.MethodGet, PathWeights, nil)
}

// PublishWeights publishes a version.
func (c *Client) PublishWeights(ctx context.Context, publication PublishWeights) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, PathWeights, publication)
}

// Pools returns a summary of each pool.
func (c *Client) Pools(ctx context.Context) (Pools, error) {
	return call[Pools](ctx, c, http.MethodGet, PathPools, nil)
}

// Pool returns the details of a pool.
func (c *Client) Pool(ctx context.Context, name port.PoolName) (PoolDetail, error) {
	return call[PoolDetail](ctx, c, http.MethodGet, withName(PathPool, "{pool}", string(name)), nil)
}

// Replicas returns all replicas.
func (c *Client) Replicas(ctx context.Context) (Replicas, error) {
	return call[Replicas](ctx, c, http.MethodGet, PathReplicas, nil)
}

// DrainReplica stops new work for a replica.
func (c *Client) DrainReplica(ctx context.Context, id port.ReplicaID, change ReplicaChange) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, withName(PathReplicaDrain, "{id}", string(id)), change)
}

// ReturnReplica returns a drained replica to service.
func (c *Client) ReturnReplica(ctx context.Context, id port.ReplicaID, change ReplicaChange) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, withName(PathReplicaReturn, "{id}", string(id)), change)
}

// Members returns the control members from one member's view.
func (c *Client) Members(ctx context.Context) (Members, error) {
	return call[Members](ctx, c, http.MethodGet, PathMembers, nil)
}

// AddMember adds a control member as a learner.
func (c *Client) AddMember(ctx context.Context, id uint64, address string) (Members, error) {
	return call[Members](ctx, c, http.MethodPost, PathMembers, MemberChange{ID: id, Address: address})
}

// PromoteMember makes a learner a voter.
func (c *Client) PromoteMember(ctx context.Context, id uint64) (Members, error) {
	path := withName(PathMemberPromote, "{id}", strconv.FormatUint(id, 10))
	return call[Members](ctx, c, http.MethodPost, path, nil)
}

// RemoveMember removes a control member from the group.
func (c *Client) RemoveMember(ctx context.Context, id uint64) (Members, error) {
	path := withName(PathMember, "{id}", strconv.FormatUint(id, 10))
	return call[Members](ctx, c, http.MethodDelete, path, nil)
}

// Status returns one member's view of the group.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, PathStatus, nil)
}

func withName(path, placeholder, name string) string {
	return strings.Replace(path, placeholder, url.PathEscape(name), 1)
}

// call makes one call and decodes its response.
func call[Answer any](ctx context.Context, c *Client, method, path string, body any) (Answer, error) {
	var answer Answer
	content, err := encodeBody(body)
	if err != nil {
		return answer, err
	}
	err = c.tryAll(ctx, method, path, content, &answer)
	return answer, err
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	content, err := json.Marshal(body)
	if err != nil {
		return nil, port.NewError(port.NotRun, port.CodeInvalid, "unencodable body: %s", err.Error())
	}
	return content, nil
}

// tryAll tries the members in turn, with backoff between rounds, until one answers,
// the failure is not retriable or ctx ends.
func (c *Client) tryAll(ctx context.Context, method, path string, content []byte, answer any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, clientTimeout)
		defer cancel()
	}
	mayHaveRun := false
	for round := 0; ; round++ {
		var last *port.Error
		first := int(c.preferred.Load())
		for offset := range c.servers {
			index := (first + offset) % len(c.servers)
			err := c.try(ctx, c.servers[index], method, path, content, answer)
			if err == nil {
				c.preferred.Store(int64(index))
				return nil
			}
			last = port.AsError(err)
			mayHaveRun = mayHaveRun || last.Verdict != port.NotRun
			if !retriable(last.Code) {
				return withVerdict(last, mayHaveRun)
			}
		}
		if !pause(ctx, round) {
			return withVerdict(last, mayHaveRun)
		}
	}
}

// pause waits for a delay with full jitter; it reports false if ctx ends first.
func pause(ctx context.Context, round int) bool {
	const maxShift = 8
	limit := min(clientBackoffBase<<min(round, maxShift), clientBackoffMax)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func retriable(code port.Code) bool {
	switch code {
	case port.CodeUnavailable, port.CodeDeadline, port.CodeDraining, port.CodeQueueFull:
		return true
	}
	return false
}

// withVerdict replaces the verdict NotRun of a refusal if an earlier attempt may have
// run.
func withVerdict(refusal *port.Error, mayHaveRun bool) *port.Error {
	if mayHaveRun && refusal.Verdict == port.NotRun {
		weakened := *refusal
		weakened.Verdict = port.MayHaveRun
		return &weakened
	}
	return refusal
}

func (c *Client) try(ctx context.Context, server, method, path string, content []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(content))
	if err != nil {
		return port.NewError(port.NotRun, port.CodeInvalid, "%s", err.Error())
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if content != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return transportError(err, connected)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return transportError(err, connected)
	}
	if len(body) > maxAnswerBytes {
		return port.NewError(port.MayHaveRun, port.CodeTooLarge, "the answer of %s is larger than %d bytes", server, maxAnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return parseErrorResponse(response, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return port.NewError(port.MayHaveRun, port.CodeInternal, "undecodable answer of %s: %s", server, err.Error())
	}
	return nil
}

// transportError returns the error for a connection failure. Only a call that was never
// given a connection sent nothing. The error does not tell: a dial that a deadline ends is
// reported as the deadline alone.
func transportError(err error, connected bool) *port.Error {
	verdict := port.NotRun
	if connected {
		verdict = port.MayHaveRun
	}
	return port.NewError(verdict, port.CodeUnavailable, "%s", eris.Cause(err).Error())
}

// parseErrorResponse decodes an error response. Without the documented body, such as
// from a proxy, the call may have run.
func parseErrorResponse(response *http.Response, body []byte) *port.Error {
	var decoded ConflictBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error.Code == "" {
		return port.NewError(port.MayHaveRun, port.CodeInternal, "status %d without an error body", response.StatusCode)
	}
	refusal := httpserve.ParseDetail(decoded.Error)
	if decoded.Current != nil {
		refusal.Message += "; run config get to see it"
	}
	return refusal
}
