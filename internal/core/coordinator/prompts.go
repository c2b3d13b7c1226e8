package coordinator

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/port"
)

// promptQueue knows which prompts wait, which must be fetched again, and which
// are committed.
type promptQueue struct {
	// below and above are the committed prompts, as in port.LedgerState.
	below port.PromptIndex
	above map[port.PromptIndex]struct{}
	// cursor is the next index never fetched.
	cursor port.PromptIndex
	// requeued goes before fresh; queued holds the indexes of both.
	requeued []port.Prompt
	fresh    []port.Prompt
	queued   map[port.PromptIndex]struct{}
	// refetch lists prompts whose text is not at hand, in order.
	refetch []port.PromptIndex

	fetching *fetchState
	after    time.Time
	tries    int
}

// fetchState is the one fetch that is out.
type fetchState struct {
	from  port.PromptIndex
	count int
	sent  time.Time
}

func newPromptQueue(state port.LedgerState) promptQueue {
	q := promptQueue{queued: make(map[port.PromptIndex]struct{})}
	q.setCommitted(state)
	q.cursor = q.below
	return q
}

// setCommitted takes over the ledger's committed prompts.
func (q *promptQueue) setCommitted(state port.LedgerState) {
	q.below = state.PromptsBelow
	q.above = make(map[port.PromptIndex]struct{}, len(state.PromptsAbove))
	for _, index := range state.PromptsAbove {
		q.above[index] = struct{}{}
	}
}

func (q *promptQueue) committed(index port.PromptIndex) bool {
	if index < q.below {
		return true
	}
	_, found := q.above[index]
	return found
}

func (q *promptQueue) length() int { return len(q.requeued) + len(q.fresh) }

// push adds a prompt at the end of the fresh ones, pushFirst among the requeued.
func (q *promptQueue) push(prompt port.Prompt) {
	q.fresh = append(q.fresh, prompt)
	q.queued[prompt.Index] = struct{}{}
}

func (q *promptQueue) pushFirst(prompt port.Prompt) {
	if _, queued := q.queued[prompt.Index]; queued {
		return
	}
	q.requeued = append(q.requeued, prompt)
	q.queued[prompt.Index] = struct{}{}
}

// pop takes the next prompt, requeued ones first.
func (q *promptQueue) pop() (port.Prompt, bool) {
	for _, queue := range []*[]port.Prompt{&q.requeued, &q.fresh} {
		if len(*queue) == 0 {
			continue
		}
		prompt := (*queue)[0]
		*queue = (*queue)[1:]
		delete(q.queued, prompt.Index)
		return prompt, true
	}
	return port.Prompt{}, false
}

// dropCommitted takes prompts out of the queues that the ledger says are done.
func (q *promptQueue) dropCommitted() {
	keep := func(prompts []port.Prompt) []port.Prompt {
		kept := prompts[:0]
		for _, prompt := range prompts {
			if q.committed(prompt.Index) {
				delete(q.queued, prompt.Index)
				continue
			}
			kept = append(kept, prompt)
		}
		return kept
	}
	q.requeued, q.fresh = keep(q.requeued), keep(q.fresh)
	q.refetch = slices.DeleteFunc(q.refetch, q.committed)
}

// needFetch adds an index whose text must be fetched again.
func (q *promptQueue) needFetch(index port.PromptIndex) {
	position, found := slices.BinarySearch(q.refetch, index)
	if !found {
		q.refetch = slices.Insert(q.refetch, position, index)
	}
}

// next gives the range to fetch: lost prompts first, then new ones.
func (q *promptQueue) next(wanted int) (from port.PromptIndex, count int) {
	if len(q.refetch) > 0 {
		from = q.refetch[0]
		count = 1
		for count < len(q.refetch) && count < maxFetch && q.refetch[count] == from+port.PromptIndex(count) {
			count++
		}
		return from, count
	}
	q.skipCommitted()
	window := int64(q.below) + ledger.MaxPromptsAbove + int64(wanted) - int64(q.cursor)
	return q.cursor, int(min(int64(wanted), int64(maxFetch), max(window, 0)))
}

// skipCommitted moves the cursor over committed prompts.
func (q *promptQueue) skipCommitted() {
	q.cursor = max(q.cursor, q.below)
	for q.committed(q.cursor) {
		q.cursor++
	}
}

// take sorts an arrived prompt in; one not asked for is ignored.
func (q *promptQueue) take(prompt port.Prompt) {
	if position, found := slices.BinarySearch(q.refetch, prompt.Index); found {
		q.refetch = slices.Delete(q.refetch, position, position+1)
		q.pushFirst(prompt)
		return
	}
	if prompt.Index != q.cursor {
		return
	}
	q.cursor++
	if !q.committed(prompt.Index) {
		q.push(prompt)
	}
}

// fetchPrompts keeps enough prompts waiting to fill a batch's worth of groups.
func (c *Coordinator) fetchPrompts() {
	q := &c.prompts
	if q.fetching != nil || c.draining || c.now.Before(q.after) {
		return
	}
	groups := c.bufferGroups()
	if len(q.refetch) == 0 && q.length() > groups/4 {
		return
	}
	from, count := q.next(groups)
	if count <= 0 {
		return
	}
	q.fetching = &fetchState{from: from, count: count, sent: c.now}
	c.emit(FetchPrompts{From: from, Count: count})
}

func (c *Coordinator) promptsArrived(event PromptsArrived) {
	q := &c.prompts
	for _, prompt := range event.Prompts {
		q.take(prompt)
	}
	if q.fetching == nil || q.fetching.from != event.From {
		return
	}
	short := len(event.Prompts) < q.fetching.count
	q.fetching = nil
	q.tries = 0
	if short {
		q.after = c.now.Add(backoff(c.config.Seed, uint64(event.From), 2))
	}
}

func (c *Coordinator) promptsFailed(event PromptsFailed) {
	q := &c.prompts
	if q.fetching == nil || q.fetching.from != event.From {
		return
	}
	q.fetching = nil
	q.tries++
	q.after = c.now.Add(backoff(c.config.Seed, uint64(event.From), q.tries))
}

// reconcile takes the ledger's state over: work on committed prompts is
// dropped, and prompts that nothing works on are fetched again.
func (c *Coordinator) reconcile(state port.LedgerState) {
	c.ledger = state
	c.prompts.setCommitted(state)
	c.prompts.dropCommitted()
	for _, group := range c.liveGroups() {
		if c.prompts.committed(group.prompt.Index) {
			c.forgetGroup(group)
		}
	}
	for index := c.prompts.below; index < c.prompts.cursor; index++ {
		if c.prompts.committed(index) || c.groups[index] != nil {
			continue
		}
		if _, queued := c.prompts.queued[index]; !queued {
			c.prompts.needFetch(index)
		}
	}
}
