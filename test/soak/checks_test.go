package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// book gathers what callers, operators and replicas saw, and what is wrong in it.
type book struct {
	mutex sync.Mutex
	// faults are broken promises.
	faults []string
	counts map[string]int
	// acknowledged is the highest configuration version that was acknowledged;
	// sent holds what was sent under each version.
	acknowledged uint64
	sent         map[uint64][]string
	jobs         map[string]*jobBook
	// once are requests that may run once only, with their answers' status.
	once map[string]int
}

// jobBook is a job as its client sees it.
type jobBook struct {
	id    string
	items []string
	// results are the results seen by position.
	results []result
	ended   time.Time
}

// result is a listed result.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

func (r result) same(other result) bool {
	return r.ID == other.ID && r.State == other.State && r.Text == other.Text && r.Score == other.Score && fmt.Sprint(r.Versions) == fmt.Sprint(other.Versions)
}

func newBook() *book {
	return &book{counts: map[string]int{}, sent: map[uint64][]string{}, jobs: map[string]*jobBook{}, once: map[string]int{}}
}

func (b *book) fault(format string, arguments ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	const most = 50
	if len(b.faults) < most {
		b.faults = append(b.faults, fmt.Sprintf(format, arguments...))
	}
}

func (b *book) count(what string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counts[what]++
}

// answered checks the answer to a caller's request.
func (b *book) answered(id string, status int, body, seal string) {
	if status/100 != 2 {
		return
	}
	if seal != sitestandin.SealOf(id) || !strings.HasSuffix(body, " to "+id) {
		b.fault("request %s got %q under seal %q", id, body, seal)
	}
}

// readPage checks a page of a job's results against those seen before.
func (b *book) readPage(job *jobBook, from, total int, page []result, events int) {
	if total != len(job.items) {
		b.fault("job %s: total %d of %d items", job.id, total, len(job.items))
	}
	b.mutex.Lock()
	held := len(job.results)
	b.mutex.Unlock()
	for i, listed := range page {
		position := from + i
		if position < held {
			if !job.results[position].same(listed) {
				b.fault("job %s: position %d held %+v and holds %+v", job.id, position, job.results[position], listed)
			}
			continue
		}
		if position != len(job.results) {
			b.fault("job %s: position %d before %d", job.id, position, len(job.results))
			return
		}
		b.checkResult(job, listed, events)
		b.mutex.Lock()
		job.results = append(job.results, listed)
		b.mutex.Unlock()
	}
}

func (b *book) checkResult(job *jobBook, listed result, events int) {
	known := false
	for _, item := range job.items {
		known = known || item == listed.ID
	}
	if !known {
		b.fault("job %s: result of %s, which is no item of it", job.id, listed.ID)
	}
	for _, other := range job.results {
		if other.ID == listed.ID {
			b.fault("job %s: item %s stands twice", job.id, listed.ID)
		}
	}
	if listed.State != "completed" {
		return
	}
	if listed.Text != sitestandin.WholeText(listed.ID, events) {
		b.fault("item %s: text %q", listed.ID, listed.Text)
	}
	if listed.Score != sitestandin.SealOf("score-"+listed.ID) {
		b.fault("item %s: score %q", listed.ID, listed.Score)
	}
	if len(listed.Versions) == 0 {
		b.fault("item %s names no version", listed.ID)
	}
}

// checkArrivals checks what reached the replicas.
func (b *book) checkArrivals(arrivals []sitestandin.Arrival, quietFrom func(time.Time) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	items := map[string]*jobBook{}
	for _, job := range b.jobs {
		for _, item := range job.items {
			items[item] = job
		}
	}
	runs := map[string]int{}
	for _, arrival := range arrivals {
		id := arrival.ID
		runs[id]++
		job := items[strings.TrimPrefix(id, "score-")]
		switch {
		case strings.HasPrefix(id, "once-"), strings.HasPrefix(id, "call-"):
		case job == nil:
			b.faults = append(b.faults, "a replica ran "+id+", which nobody sent")
		case !job.ended.IsZero() && arrival.At.After(job.ended.Add(cancelTime)) && quietFrom(arrival.At):
			b.faults = append(b.faults, fmt.Sprintf("item %s ran %v after its job ended", id, arrival.At.Sub(job.ended)))
		}
	}
	for id, status := range b.once {
		switch {
		case runs[id] > 1:
			b.faults = append(b.faults, fmt.Sprintf("request %s, which may run once, ran %d times", id, runs[id]))
		case runs[id] > 0 && (status == 503 || status == 429):
			b.faults = append(b.faults, fmt.Sprintf("request %s was refused as not run (%d) and ran", id, status))
		}
	}
}

// checkOrders checks the orders of each replica: the fence rises with the holder,
// and two holders do not take turns within the lease.
func (b *book) checkOrders(replica string, orders []sitestandin.Order, quietFrom func(time.Time) bool) {
	for i := 1; i < len(orders); i++ {
		before, after := orders[i-1], orders[i]
		if before.Holder == after.Holder || !quietFrom(after.At) {
			continue
		}
		if after.Fence <= before.Fence {
			b.fault("replica %s: order of %s under fence %d after one of %s under %d", replica, after.Holder, after.Fence, before.Holder, before.Fence)
		}
		if after.At.Sub(before.At) < holderLease {
			b.fault("replica %s: %s ordered %v after %s", replica, after.Holder, after.At.Sub(before.At), before.Holder)
		}
	}
}
