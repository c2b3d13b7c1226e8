package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// maxPageBytes and minPageBytes limit the texts of one page. A page holds at least one result.
	maxPageBytes = 700 << 10
	minPageBytes = 4 << 10
	// pageCopies is how often a page is in memory until it is written: in the message of a store, decoded,
	// and encoded for the caller; bodyCopies is the same for the body of an item.
	pageCopies = 3
	bodyCopies = 2
	// pageBudgetParts limits the memory that is reserved for pages, before their sizes are known, to this
	// part of the budget. Each reader gets 1/pageShareParts of what is left of it.
	pageBudgetParts = 4
	pageShareParts  = 8
	// smallBodyBytes is the size up to which the body of an item is read without asking for its size.
	smallBodyBytes = 64 << 10
)

// reservePage reserves the memory for a page and returns the limit of its texts, 0 if there is no memory:
// many readers at once get smaller pages. The caller must call done once the size of the page is known.
func (f *Front) reservePage(memory *membudget.Reservation) (limit int, done func()) {
	limit = maxPageBytes
	if budget := f.config.MemoryBudget.Limit(); budget > 0 {
		left := budget/pageBudgetParts - f.pageBytes.Load()
		limit = int(min(maxPageBytes, max(minPageBytes, left/(pageCopies*pageShareParts))))
	}
	bytes := int64(pageCopies * limit)
	if !memory.Reserve(bytes) {
		return 0, func() {}
	}
	f.pageBytes.Add(bytes)
	return limit, func() { f.pageBytes.Add(-bytes) }
}

// ReadJob returns results of a job from a position on, and waits up to wait for the first
// of them. found is false if the job does not exist. An error means that the state of the
// job could not be read, or that there is no memory for the page. The caller must call release, which
// releases that memory, once it has no use for the page.
func (f *Front) ReadJob(ctx context.Context, caller Caller, job string, from int, wait time.Duration) (page jobstate.Page, release func(), found bool, err error) {
	memory := f.config.MemoryBudget.NewReservation()
	page, found, err = f.readJob(ctx, memory, caller, job, from, wait)
	return page, memory.Close, found, err
}

func (f *Front) readJob(ctx context.Context, memory *membudget.Reservation, caller Caller, job string, from int, wait time.Duration) (page jobstate.Page, found bool, err error) {
	if !utf8.ValidString(job) {
		return jobstate.Page{}, false, nil
	}
	wait = min(max(0, wait), maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	limit, done := f.reservePage(memory)
	defer done()
	if limit == 0 {
		return jobstate.Page{}, false, errNoPageMemory
	}
	request := jobsapi.PageRequest{Job: job, From: from, WaitMillis: wait.Milliseconds(), MaxBytes: limit, Strict: true, Access: caller.access()}
	page, found, err = f.config.Jobs.Page(ctx, request)
	var larger *jobsapi.SizeError
	if errors.As(err, &larger) {
		if !memory.Reserve(int64(pageCopies * (larger.Bytes - request.MaxBytes))) {
			return jobstate.Page{}, false, errNoPageMemory
		}
		request.MaxBytes, request.Strict = larger.Bytes, false
		page, found, err = f.config.Jobs.Page(ctx, request)
	}
	return page, found, f.checkAbsence(caller, found, err)
}

// errNoPageMemory reports that there is no memory for a page or a body.
var errNoPageMemory = port.NewError(port.NotRun, port.CodeQueueFull, "the memory budget has no space for the answer")

// ItemBody returns the body of a job's item. The caller must call release, which releases the memory for
// the body, once it has no use for it.
func (f *Front) ItemBody(ctx context.Context, caller Caller, job, item string) (body []byte, release func(), found bool, err error) {
	memory := f.config.MemoryBudget.NewReservation()
	body, found, err = f.itemBody(ctx, memory, caller, job, item)
	return body, memory.Close, found, err
}

func (f *Front) itemBody(ctx context.Context, memory *membudget.Reservation, caller Caller, job, item string) (body []byte, found bool, err error) {
	if !utf8.ValidString(job) || !utf8.ValidString(item) {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request := jobsapi.BodyRequest{Job: job, Item: item, MaxBytes: smallBodyBytes, Access: caller.access()}
	if !memory.Reserve(bodyCopies * smallBodyBytes) {
		return nil, false, errNoPageMemory
	}
	body, found, err = f.config.Jobs.Body(ctx, request)
	var larger *jobsapi.SizeError
	if errors.As(err, &larger) {
		if !memory.Reserve(int64(bodyCopies * (larger.Bytes - smallBodyBytes))) {
			return nil, false, errNoPageMemory
		}
		request.MaxBytes = 0
		body, found, err = f.config.Jobs.Body(ctx, request)
	}
	return body, found, f.checkAbsence(caller, found, err)
}

// Respond writes a response made by the front itself.
func (f *Front) Respond(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	f.write(w, body)
}
