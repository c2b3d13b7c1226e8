package coordinator

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/port"
)

// promptQueue tracks the prompts that are queued, to be fetched again, or committed.
type promptQueue struct {
	// committedBelow and committedAbove are the committed prompts, as in port.LedgerState.
	committedBelow port.PromptIndex
	committedAbove map[port.PromptIndex]struct{}
	// cursor is the lowest index not fetched yet.
	cursor port.PromptIndex
	// pop returns requeued prompts before newPrompts; queued holds the indexes of both.
	requeued   []port.Prompt
	newPrompts []port.Prompt
	queued     map[port.PromptIndex]struct{}
	// refetch lists prompts whose text must be fetched again, sorted by index.
	refetch []port.PromptIndex

	fetching  *fetchState
	notBefore time.Time
	tries     int
}

// fetchState is the outstanding fetch.
type fetchState struct {
	from  port.PromptIndex
	count int
	sent  time.Time
}

func newPromptQueue(state port.LedgerState) promptQueue {
	q := promptQueue{queued: make(map[port.PromptIndex]struct{})}
	q.setCommitted(state)
	q.cursor = q.committedBelow
	return q
}

// setCommitted replaces the committed prompts by the ledger's.
func (q *promptQueue) setCommitted(state port.LedgerState) {
	q.committedBelow = state.PromptsBelow
	q.committedAbove = make(map[port.PromptIndex]struct{}, len(state.PromptsAbove))
	for _, index := range state.PromptsAbove {
		q.committedAbove[index] = struct{}{}
	}
}

func (q *promptQueue) committed(index port.PromptIndex) bool {
	if index < q.committedBelow {
		return true
	}
	_, found := q.committedAbove[index]
	return found
}

func (q *promptQueue) length() int { return len(q.requeued) + len(q.newPrompts) }

// push appends a new prompt.
func (q *promptQueue) push(prompt port.Prompt) {
	q.newPrompts = append(q.newPrompts, prompt)
	q.queued[prompt.Index] = struct{}{}
}

// requeue appends a prompt that was started before.
func (q *promptQueue) requeue(prompt port.Prompt) {
	if _, queued := q.queued[prompt.Index]; queued {
		return
	}
	q.requeued = append(q.requeued, prompt)
	q.queued[prompt.Index] = struct{}{}
}

// pop returns the next prompt, requeued ones first.
func (q *promptQueue) pop() (port.Prompt, bool) {
	for _, queue := range []*[]port.Prompt{&q.requeued, &q.newPrompts} {
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

// dropCommitted removes committed prompts from the queues.
func (q *promptQueue) dropCommitted() {
	filter := func(prompts []port.Prompt) []port.Prompt {
		remaining := prompts[:0]
		for _, prompt := range prompts {
			if q.committed(prompt.Index) {
				delete(q.queued, prompt.Index)
				continue
			}
			remaining = append(remaining, prompt)
		}
		return remaining
	}
	q.requeued, q.newPrompts = filter(q.requeued), filter(q.newPrompts)
	q.refetch = slices.DeleteFunc(q.refetch, q.committed)
}

// addRefetch adds a prompt to fetch again.
func (q *promptQueue) addRefetch(index port.PromptIndex) {
	position, found := slices.BinarySearch(q.refetch, index)
	if !found {
		q.refetch = slices.Insert(q.refetch, position, index)
	}
}

// nextFetch returns the range to fetch: prompts to fetch again first, then new ones.
func (q *promptQueue) nextFetch(newCount int) (from port.PromptIndex, count int) {
	if len(q.refetch) > 0 {
		from = q.refetch[0]
		count = 1
		for count < len(q.refetch) && count < maxFetch && q.refetch[count] == from+port.PromptIndex(count) {
			count++
		}
		return from, count
	}
	q.skipCommitted()
	window := int64(q.committedBelow) + ledger.MaxPromptsAbove + int64(newCount) - int64(q.cursor)
	return q.cursor, int(min(int64(newCount), int64(maxFetch), max(window, 0)))
}

// skipCommitted advances the cursor past committed prompts.
func (q *promptQueue) skipCommitted() {
	q.cursor = max(q.cursor, q.committedBelow)
	for q.committed(q.cursor) {
		q.cursor++
	}
}

// accept queues a fetched prompt; one that was not requested is ignored.
func (q *promptQueue) accept(prompt port.Prompt) {
	if position, found := slices.BinarySearch(q.refetch, prompt.Index); found {
		q.refetch = slices.Delete(q.refetch, position, position+1)
		q.requeue(prompt)
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

// fetchPrompts starts a fetch if prompts must be fetched again or if at most a quarter of
// the buffer's groups are queued.
func (c *Coordinator) fetchPrompts() {
	q := &c.prompts
	if q.fetching != nil || c.draining || c.now.Before(q.notBefore) {
		return
	}
	groups := c.bufferGroups()
	if len(q.refetch) == 0 && q.length() > groups/4 {
		return
	}
	from, count := q.nextFetch(groups)
	if count <= 0 {
		return
	}
	q.fetching = &fetchState{from: from, count: count, sent: c.now}
	c.emit(FetchPrompts{From: from, Count: count})
}

func (c *Coordinator) promptsArrived(event PromptsArrived) {
	q := &c.prompts
	for _, prompt := range event.Prompts {
		q.accept(prompt)
	}
	if q.fetching == nil || q.fetching.from != event.From {
		return
	}
	short := len(event.Prompts) < q.fetching.count
	q.fetching = nil
	q.tries = 0
	if short {
		q.notBefore = c.now.Add(backoff(c.config.Seed, uint64(event.From), 2))
	}
}

func (c *Coordinator) promptsFailed(event PromptsFailed) {
	q := &c.prompts
	if q.fetching == nil || q.fetching.from != event.From {
		return
	}
	q.fetching = nil
	q.tries++
	q.notBefore = c.now.Add(backoff(c.config.Seed, uint64(event.From), q.tries))
}

// reconcile applies the ledger state: it drops groups of committed prompts and fetches
// prompts again that are neither in progress nor queued.
func (c *Coordinator) reconcile(state port.LedgerState) {
	c.ledger = state
	c.prompts.setCommitted(state)
	c.prompts.dropCommitted()
	for _, group := range c.liveGroups() {
		if c.prompts.committed(group.prompt.Index) {
			c.discardGroup(group)
		}
	}
	for index := c.prompts.committedBelow; index < c.prompts.cursor; index++ {
		if c.prompts.committed(index) || c.groups[index] != nil {
			continue
		}
		if _, queued := c.prompts.queued[index]; !queued {
			c.prompts.addRefetch(index)
		}
	}
}
