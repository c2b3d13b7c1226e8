package jobsapi

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// memberTimeout limits one call to a member, beyond the wait that the call requests and the
	// SizeAllowance of a job that it submits.
	memberTimeout = 1200 * time.Millisecond
	retryPause    = 60 * time.Millisecond
	// ordinaryJobBytes is the size, as counted by jobstate.Submission.Bytes, up to which a job has no
	// SizeAllowance. Beyond it a job has a second for each jobBytesPerSecond.
	ordinaryJobBytes  = 1 << 20
	jobBytesPerSecond = 16 << 20
	// maxCachedJobs limits the jobs whose shard a client caches; beyond it the older half is
	// dropped.
	maxCachedJobs = 4096
)

// Config configures a Client.
type Config struct {
	Wire wire.Options
	// Zone is the zone of this process. Pages are read from a member there, if it has the
	// results; empty means none.
	Zone string
	// View returns the current view of the site, or nil.
	View func() *sitestate.View
	// AssignShard returns the shard of a model that has none in the view yet. The control group
	// chooses it, in one of the regions if any are given.
	AssignShard func(ctx context.Context, model string, regions []string) (sitestate.ShardNumber, error)
	// StoredWithin reports whether all machines that store a shard's jobs are in the allowed
	// regions; nil means that regions are unknown.
	StoredWithin func(shard sitestate.ShardNumber, allowed routing.AllowedRegions) bool
	// Logger logs calls that no member served in time; nil logs none.
	Logger *log.Logger
}

// Client calls the groups of the shards. It is safe for concurrent use.
type Client struct {
	config Config
	pool   *wire.Pool

	mutex sync.Mutex
	// leaders are the addresses of the last known leaders.
	leaders map[sitestate.ShardNumber]string
	shards  shardCache
	// failedUntil is the end of the backoff of a failed member in the zone, by address. Until
	// then the member is called last.
	failedUntil map[string]time.Time
	unavailable eventlog.Limiter
}

// NewClient returns a Client.
func NewClient(config Config) *Client {
	return &Client{
		config: config, pool: wire.NewPool(config.Wire),
		leaders: map[sitestate.ShardNumber]string{}, failedUntil: map[string]time.Time{},
	}
}

// SizeAllowance returns the time that the submission of a large job may take beyond that of any other: a
// member transfers, decodes, stores and applies all of it before it answers.
func SizeAllowance(submission *jobstate.Submission) time.Duration {
	excess := max(0, submission.Bytes()-ordinaryJobBytes)
	return time.Duration(float64(excess) / jobBytesPerSecond * float64(time.Second))
}

// Submit submits a job to the shard of its model. It is safe to repeat: the shard accepts a
// job once. The error's verdict is NotRun only if no member can have accepted the job. A job
// whose shard is stored outside the allowed regions is rejected without being sent.
func (c *Client) Submit(ctx context.Context, submission *jobstate.Submission, allowed routing.AllowedRegions) (jobstate.AcceptOutcome, error) {
	shard, err := c.shardOfModel(ctx, submission.Model, allowed)
	if err != nil {
		return 0, err
	}
	if allowed.Restricted() && (c.config.StoredWithin == nil || !c.config.StoredWithin(shard, allowed)) {
		return 0, port.NewError(port.NotRun, port.CodeUnavailable, "the jobs of the model are stored outside the regions that the job allows: %s", allowed)
	}
	answer, err := c.call(ctx, Request{Shard: shard, Submit: submission})
	if err != nil {
		return 0, err
	}
	c.cacheShard(submission.ID, shard)
	return answer.Accepted, nil
}

func (c *Client) shardOfModel(ctx context.Context, model string, allowed routing.AllowedRegions) (sitestate.ShardNumber, error) {
	if view := c.config.View(); view != nil {
		if shard := view.ShardOf(model); shard != 0 {
			return shard, nil
		}
	}
	// Nothing was sent to a shard yet, so the job has certainly not run.
	shard, err := c.config.AssignShard(ctx, model, allowed.Regions())
	if err == nil && shard == 0 {
		err = eris.New("no shard is known")
	}
	if err != nil && port.AsError(err).Code == port.CodeInvalid {
		return 0, port.NewError(port.NotRun, port.CodeInvalid, "%s", port.AsError(err).Message)
	}
	if err != nil {
		return 0, port.NewError(port.NotRun, port.CodeUnavailable, "the shard of the job's model is not known: %v", err)
	}
	return shard, nil
}

// Page returns results of a job. found is false if no shard has it. The error is a *SizeError if
// request.Strict is set and the first result is too large.
func (c *Client) Page(ctx context.Context, request PageRequest) (page jobstate.Page, found bool, err error) {
	answer, err := c.callByJob(ctx, request.Job, Request{Page: &request})
	if err == nil {
		err = answer.checkSize()
	}
	return answer.Page, !answer.Unknown, err
}

// Body returns the body of an item that has no result yet. found is false if no shard has
// it. The error is a *SizeError if the body is larger than request.MaxBytes.
func (c *Client) Body(ctx context.Context, request BodyRequest) (body []byte, found bool, err error) {
	answer, err := c.callByJob(ctx, request.Job, Request{Body: &request})
	if err == nil {
		err = answer.checkSize()
	}
	return answer.Body, !answer.Unknown, err
}

// End ends a job. found is false if no shard has it.
func (c *Client) End(ctx context.Context, request EndRequest) (found bool, err error) {
	answer, err := c.callByJob(ctx, request.Job, Request{End: &request})
	return !answer.Unknown, err
}

// List returns an overview of the jobs of all shards, by shard and in order of acceptance.
func (c *Client) List(ctx context.Context) ([]JobSummary, error) {
	view := c.config.View()
	if view == nil {
		return nil, port.NewError(port.NotRun, port.CodeUnavailable, "no view of the site is available yet")
	}
	var jobs []JobSummary
	for _, shard := range view.Shards {
		answer, err := c.call(ctx, Request{Shard: shard.Number, List: &ListRequest{}})
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, answer.Jobs...)
	}
	return jobs, nil
}

// callByJob calls the shard that has a job. If the shard is not cached, callByJob first
// calls the shards that have models, since a large site has more shards than models. It returns
// Unknown only if every shard does, since the view may lack the newest models.
func (c *Client) callByJob(ctx context.Context, job string, request Request) (Answer, error) {
	if shard := c.cachedShard(job); shard != 0 {
		request.Shard = shard
		return c.call(ctx, request)
	}
	// All shards are created before the first model is placed, so that a view with a
	// placed model has all shards.
	view := c.config.View()
	if view == nil || len(view.Placed) == 0 {
		return Answer{}, port.NewError(port.NotRun, port.CodeUnavailable, "the view may not have all shards yet")
	}
	first, others := splitByPlacement(view)
	answer, err := c.callAny(ctx, job, request, first)
	if err != nil || !answer.Unknown || len(others) == 0 {
		return answer, err
	}
	return c.callAny(ctx, job, request, others)
}

// splitByPlacement returns the shards that store the jobs of any model, and the others.
func splitByPlacement(view *sitestate.View) (placed, others []sitestate.ShardNumber) {
	placed = slices.Compact(slices.Sorted(maps.Values(view.Placed)))
	for _, shard := range view.Shards {
		if !slices.Contains(placed, shard.Number) {
			others = append(others, shard.Number)
		}
	}
	return placed, others
}

// callAny calls several shards concurrently and returns the answer of the one with the job.
func (c *Client) callAny(ctx context.Context, job string, request Request, shards []sitestate.ShardNumber) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		shard  sitestate.ShardNumber
		answer Answer
		err    error
	}
	replies := make(chan reply, len(shards))
	for _, shard := range shards {
		shardRequest := request
		shardRequest.Shard = shard
		go func() {
			answer, err := c.call(ctx, shardRequest)
			replies <- reply{shard, answer, err}
		}()
	}
	var failed error
	for range shards {
		got := <-replies
		switch {
		case got.err != nil:
			failed = got.err
		case !got.answer.Unknown:
			c.cacheShard(job, got.shard)
			return got.answer, nil
		}
	}
	if failed != nil {
		return Answer{}, failed
	}
	return Answer{Unknown: true}, nil
}

// call calls members of a shard's group until the leader answers or ctx ends. All calls are
// safe to repeat. The error's verdict is NotRun only if no member can have accepted the
// request.
func (c *Client) call(ctx context.Context, request Request) (Answer, error) {
	if request.Page != nil {
		if answer, found := c.callZoneMember(ctx, request); found {
			return answer, nil
		}
	}
	verdict := port.NotRun
	last := eris.New("no store machine is known")
	for {
		queue := c.memberAddresses(request.Shard)
		tried := map[string]bool{}
		for len(queue) > 0 {
			address := queue[0]
			queue = queue[1:]
			if address == "" || tried[address] {
				continue
			}
			tried[address] = true
			answer, err := c.callMember(ctx, address, request)
			switch {
			case err == nil && !answer.NotLeader:
				c.setLeader(request.Shard, address)
				return answer, nil
			case err == nil:
				queue = slices.Insert(queue, 0, answer.Leader)
				last = eris.New("no member leads the shard's group")
			case isFinal(err):
				if verdict != port.NotRun { // an earlier call may still be accepted
					refusal := port.AsError(err)
					err = port.NewError(verdict, refusal.Code, "%s", refusal.Message)
				}
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
		case <-time.After(retryPause):
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) { // the caller still waits
				c.logUnavailable(request, len(tried), last)
			}
			return Answer{}, port.NewError(verdict, port.CodeUnavailable, "%v", last)
		}
	}
}

// logUnavailable logs, rate-limited, that no member of a shard's group served a call.
func (c *Client) logUnavailable(request Request, members int, last error) {
	if c.config.Logger == nil {
		return
	}
	if count, due := c.unavailable.Due(time.Now()); due {
		c.config.Logger.Warn().Str(eventlog.Field, eventlog.JobsUnavailable).Uint32("shard", uint32(request.Shard)).
			Str("call", request.name()).Int("members", members).Int("count", count).Err(last).Msg("no member of the shard's group served a call in time")
	}
}

// isFinal reports whether every other member would return the same error.
func isFinal(err error) bool {
	var refusal *port.Error
	return errors.As(err, &refusal) && (refusal.Code == port.CodeInvalid || refusal.Code == port.CodeQueueFull || refusal.Code == port.CodeTooLarge)
}

func (c *Client) callMember(ctx context.Context, address string, request Request) (Answer, error) {
	timeout := memberTimeout
	if request.Page != nil {
		timeout += time.Duration(request.Page.WaitMillis) * time.Millisecond
	}
	if request.Submit != nil {
		timeout += SizeAllowance(request.Submit)
	}
	return c.callWithTimeout(ctx, timeout, address, request)
}

func (c *Client) callWithTimeout(ctx context.Context, timeout time.Duration, address string, request Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer Answer
	err := c.pool.Client(address).Call(ctx, MethodCall, request, &answer)
	return answer, err
}

// memberAddresses returns the addresses of a shard's members to call: the last known leader,
// then the others, with those that failed recently last, then the founders. The founders are
// known before any machine has reported its shard.
func (c *Client) memberAddresses(shard sitestate.ShardNumber) []string {
	view := c.config.View()
	if view == nil {
		return nil
	}
	var addresses []string
	for _, store := range view.Stores {
		if store.Shard == shard && store.State != sitestate.StoreEvacuated {
			addresses = append(addresses, store.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = slices.Insert(c.sortFailedLast(addresses), 0, c.leader(shard))
	for _, candidate := range view.Shards {
		if candidate.Number != shard {
			continue
		}
		for _, founder := range candidate.Founders {
			addresses = append(addresses, founder.Address)
		}
	}
	return addresses
}

// leader returns the last known leader of a shard's group, or "".
func (c *Client) leader(shard sitestate.ShardNumber) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaders[shard]
}

func (c *Client) setLeader(shard sitestate.ShardNumber, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaders[shard] = address
}

func (c *Client) cacheShard(job string, shard sitestate.ShardNumber) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.shards.add(job, shard)
}

// cachedShard returns the shard that has a job, 0 if unknown.
func (c *Client) cachedShard(job string) sitestate.ShardNumber {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.shards.find(job)
}

// shardCache caches the shards of the newest jobs in two halves. When the newer one is full,
// the older one is dropped.
type shardCache struct {
	newer, older map[string]sitestate.ShardNumber
}

func (m *shardCache) add(job string, shard sitestate.ShardNumber) {
	if m.newer == nil || len(m.newer) >= maxCachedJobs/2 {
		m.newer, m.older = map[string]sitestate.ShardNumber{}, m.newer
	}
	m.newer[job] = shard
}

func (m *shardCache) find(job string) sitestate.ShardNumber {
	if shard, known := m.newer[job]; known {
		return shard
	}
	return m.older[job]
}
