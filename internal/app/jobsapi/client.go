package jobsapi

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// attemptTimeout bounds one member's answer, beyond what it is asked to wait.
	attemptTimeout = 1200 * time.Millisecond
	roundPause     = 60 * time.Millisecond
	// rememberedJobs bounds the jobs whose shard a client remembers; beyond it the
	// oldest half is forgotten and has to be looked for again.
	rememberedJobs = 4096
)

// Config sets a Client up.
type Config struct {
	Wire wire.Options
	// Zone is where this process stands. Pages are read from a member there, if it has
	// what is asked for; empty is none.
	Zone string
	// View gives what is known of the site, or nil.
	View func() *sitestate.View
	// Place gives the shard of a model whose jobs have none in the view yet, kept in one of
	// the regions if any are given; the control group decides it.
	AssignShard func(ctx context.Context, model string, regions []string) (sitestate.ShardNumber, error)
	// KeepsWithin reports whether all machines that keep a shard's jobs stand in homes; nil
	// knows of no regions.
	StoredWithin func(shard sitestate.ShardNumber, homes routing.AllowedRegions) bool
}

// Client asks the groups of the shards. It is safe for concurrent use.
type Client struct {
	config Config
	pool   *wire.Pool

	mutex sync.Mutex
	// leaders are the last known leaders' addresses.
	leaders map[sitestate.ShardNumber]string
	shards  shardMemory
	// avoided are members of the zone that failed, and until when they are not asked
	// first.
	avoided map[string]time.Time
}

// NewClient makes a client.
func NewClient(config Config) *Client {
	return &Client{
		config: config, pool: wire.NewPool(config.Wire),
		leaders: map[sitestate.ShardNumber]string{}, avoided: map[string]time.Time{},
	}
}

// Submit hands a job in at the shard of its model. It is safe to repeat: a job is
// taken once. The error's verdict is NotRun only if no member can have taken it. A job whose
// shard is kept outside its homes is refused before anything of it leaves this machine.
func (c *Client) Submit(ctx context.Context, submission *jobstate.Submission, homes routing.AllowedRegions) (jobstate.AcceptOutcome, error) {
	shard, err := c.shardOfModel(ctx, submission.Model, homes)
	if err != nil {
		return 0, err
	}
	if homes.Restricted() && (c.config.StoredWithin == nil || !c.config.StoredWithin(shard, homes)) {
		return 0, port.NewError(port.NotRun, port.CodeUnavailable, "the jobs of the model are kept outside the regions where the job may be: %s", homes)
	}
	answer, err := c.call(ctx, Request{Shard: shard, Submit: submission})
	if err != nil {
		return 0, err
	}
	c.remember(submission.ID, shard)
	return answer.Accepted, nil
}

func (c *Client) shardOfModel(ctx context.Context, model string, homes routing.AllowedRegions) (sitestate.ShardNumber, error) {
	if view := c.config.View(); view != nil {
		if shard := view.ShardOf(model); shard != 0 {
			return shard, nil
		}
	}
	// Nothing was sent to a shard yet, so the job has not run whatever failed.
	shard, err := c.config.AssignShard(ctx, model, homes.Regions())
	if err == nil && shard == 0 {
		err = eris.New("no shard is known")
	}
	if err != nil {
		return 0, port.NewError(port.NotRun, port.CodeUnavailable, "the shard of the job's model is not known: %v", err)
	}
	return shard, nil
}

// Page gives results of a job. Found is false if no shard has it.
func (c *Client) Page(ctx context.Context, request PageRequest) (page jobstate.Page, found bool, err error) {
	answer, err := c.ofJob(ctx, request.Job, Request{Page: &request})
	return answer.Page, !answer.Unknown, err
}

// Body gives the body of an item that is not listed yet. Found is false if no shard
// has it.
func (c *Client) Body(ctx context.Context, request BodyRequest) (body []byte, found bool, err error) {
	answer, err := c.ofJob(ctx, request.Job, Request{Body: &request})
	return answer.Body, !answer.Unknown, err
}

// End ends a job. Found is false if no shard has it.
func (c *Client) End(ctx context.Context, request EndRequest) (found bool, err error) {
	answer, err := c.ofJob(ctx, request.Job, Request{End: &request})
	return !answer.Unknown, err
}

// List gives an overview of the jobs of all shards, by shard and in the order of
// acceptance.
func (c *Client) List(ctx context.Context) ([]JobSummary, error) {
	view := c.config.View()
	if view == nil {
		return nil, port.NewError(port.NotRun, port.CodeUnavailable, "nothing of the site is known yet")
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

// ofJob makes a call at the shard that has a job. Where that is not known, those that keep the
// jobs of any model are asked first: a site of many machines has more shards than models, and
// each that is asked is a connection and an answer for every front. Unknown is answered only
// if every shard says so: the view may lack the newest models.
func (c *Client) ofJob(ctx context.Context, job string, request Request) (Answer, error) {
	if shard := c.recall(job); shard != 0 {
		request.Shard = shard
		return c.call(ctx, request)
	}
	// Shards are founded before the first model is placed: with one that is, all are
	// known.
	view := c.config.View()
	if view == nil || len(view.Placed) == 0 {
		return Answer{}, port.NewError(port.NotRun, port.CodeUnavailable, "not all shards may be known")
	}
	first, others := byPlaced(view)
	answer, err := c.ofAny(ctx, job, request, first)
	if err != nil || !answer.Unknown || len(others) == 0 {
		return answer, err
	}
	return c.ofAny(ctx, job, request, others)
}

// byPlaced lists the shards that keep the jobs of any model, and the others.
func byPlaced(view *sitestate.View) (placed, others []sitestate.ShardNumber) {
	placed = slices.Compact(slices.Sorted(maps.Values(view.Placed)))
	for _, shard := range view.Shards {
		if !slices.Contains(placed, shard.Number) {
			others = append(others, shard.Number)
		}
	}
	return placed, others
}

// ofAny makes a call at the one of several shards that has a job, asking all at once.
func (c *Client) ofAny(ctx context.Context, job string, request Request, shards []sitestate.ShardNumber) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		shard  sitestate.ShardNumber
		answer Answer
		err    error
	}
	replies := make(chan reply, len(shards))
	for _, shard := range shards {
		asked := request
		asked.Shard = shard
		go func() {
			answer, err := c.call(ctx, asked)
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
			c.remember(job, got.shard)
			return got.answer, nil
		}
	}
	if failed != nil {
		return Answer{}, failed
	}
	return Answer{Unknown: true}, nil
}

// call asks members of a shard's group until the leader answers or the context ends.
// All calls are safe to repeat. The error's verdict is NotRun only if no member can have
// taken the request.
func (c *Client) call(ctx context.Context, request Request) (Answer, error) {
	if request.Page != nil {
		if answer, found := c.askNear(ctx, request); found {
			return answer, nil
		}
	}
	verdict := port.NotRun
	last := eris.New("no store machine is known")
	for {
		queue := c.order(request.Shard)
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
				c.setLeader(request.Shard, address)
				return answer, nil
			case err == nil:
				queue = slices.Insert(queue, 0, answer.Leader)
				last = eris.New("no member leads the shard's group")
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
	return c.askWithin(ctx, limit, address, request)
}

func (c *Client) askWithin(ctx context.Context, limit time.Duration, address string, request Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var answer Answer
	err := c.pool.Client(address).Call(ctx, MethodCall, request, &answer)
	return answer, err
}

// order lists the machines of a shard to ask, the last known leader first and those that
// failed a moment ago late. The founders come last: they are known before machines have
// told which shard they are of.
func (c *Client) order(shard sitestate.ShardNumber) []string {
	view := c.config.View()
	if view == nil {
		return nil
	}
	var addresses []string
	for _, store := range view.Stores {
		if store.Shard == shard && store.State != sitestate.StoreEmptied {
			addresses = append(addresses, store.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = slices.Insert(c.failedLast(addresses), 0, c.leader(shard))
	for _, known := range view.Shards {
		if known.Number != shard {
			continue
		}
		for _, founder := range known.Founders {
			addresses = append(addresses, founder.Address)
		}
	}
	return addresses
}

// leader gives the last known leader of a shard's group, empty if none is known.
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

func (c *Client) remember(job string, shard sitestate.ShardNumber) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.shards.add(job, shard)
}

// recall gives the shard that has a job, 0 if it is not known.
func (c *Client) recall(job string) sitestate.ShardNumber {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.shards.find(job)
}

// shardMemory remembers the shards of the newest jobs, in two halves of which the older
// one is forgotten when the newer one is full.
type shardMemory struct {
	newer, older map[string]sitestate.ShardNumber
}

func (m *shardMemory) add(job string, shard sitestate.ShardNumber) {
	if m.newer == nil || len(m.newer) >= rememberedJobs/2 {
		m.newer, m.older = map[string]sitestate.ShardNumber{}, m.newer
	}
	m.newer[job] = shard
}

func (m *shardMemory) find(job string) sitestate.ShardNumber {
	if shard, known := m.newer[job]; known {
		return shard
	}
	return m.older[job]
}
