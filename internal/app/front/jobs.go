package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// submitTimeout bounds the acceptance of a job, readTimeout the other calls.
	submitTimeout = 2500 * time.Millisecond
	readTimeout   = 1200 * time.Millisecond
	// maxWait bounds how long a read may wait for a result.
	maxWait = time.Second
	// maxPageBytes bounds the texts of one page.
	maxPageBytes = 700 << 10
)

// submit takes a job. It is answered 202 once its shard's group keeps it. An
// outcome that is not known is answered 504: 503 would promise that nothing of
// it ever runs.
func (f *Front) submit(w http.ResponseWriter, r *http.Request, route *routing.Route, caller Caller, body []byte) {
	if r.Method != http.MethodPost {
		f.answerStatus(w, r, route.Name, http.StatusMethodNotAllowed, "jobs are handed in by POST")
		return
	}
	submission, err := f.config.Dialect.DecodeJob(body)
	if err != nil {
		f.answerStatus(w, r, route.Name, http.StatusBadRequest, err.Error())
		return
	}
	submission.ID = r.Header.Get(f.headers.RequestID)
	submission.Host, submission.OneVersion, submission.Tenant = r.Host, route.OneVersion, caller.name()
	submission.Path, _, _ = strings.Cut(target(r), "?")
	if submission.ID == "" {
		f.answerStatus(w, r, route.Name, http.StatusBadRequest, "a job needs an id: header "+f.headers.RequestID)
		return
	}
	// The acceptance goes on although the client leaves: it may be under way.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), min(submitTimeout, f.allowed(r, route)))
	defer cancel()
	began := time.Now()
	accepted, err := f.config.Jobs.Submit(ctx, &submission, routing.AllowedRegionsOf(route, caller.tenant))
	if err != nil {
		f.jobFailed(w, r, route.Name, err)
		return
	}
	f.config.Logger.Info().Str(eventlog.Field, eventlog.JobAccepted).Str("id", submission.ID).Str("route", route.Name).Str("model", submission.Model).
		Int("items", len(submission.Items)).Uint64("step", submission.Step).Uint64("min_version", submission.MinVersion).
		Bool("before", accepted == jobstate.AlreadyAccepted).Dur("took", time.Since(began)).Msg("a job is kept")
	w.WriteHeader(http.StatusAccepted)
}

func (f *Front) jobFailed(w http.ResponseWriter, r *http.Request, route string, err error) {
	failure := port.AsError(err)
	switch {
	case failure.Code == port.CodeInvalid || failure.Code == port.CodeTooLarge:
		f.answerStatus(w, r, route, http.StatusBadRequest, failure.Message)
	case failure.Verdict == port.NotRun:
		f.refuse(w, r, route, failure.Message)
	default:
		f.answerStatus(w, r, route, http.StatusGatewayTimeout, failure.Message)
	}
}

// ReadJob gives results of a job from a position on, waiting a moment for one
// to exist. Found is false if there is no such job. An error says that this
// process cannot be sure.
func (f *Front) ReadJob(ctx context.Context, caller Caller, job string, from int, wait time.Duration) (page jobstate.Page, found bool, err error) {
	wait = min(max(0, wait), maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return f.config.Jobs.Page(ctx, jobsapi.PageRequest{
		Job: job, From: from, WaitMillis: wait.Milliseconds(), MaxBytes: maxPageBytes, Access: caller.access(),
	})
}

// ItemBody gives the body of a job's item.
func (f *Front) ItemBody(ctx context.Context, caller Caller, job, item string) (body []byte, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.config.Jobs.Body(ctx, jobsapi.BodyRequest{Job: job, Item: item, Access: caller.access()})
}

// EndJob ends a job: nothing of it runs any more.
func (f *Front) EndJob(ctx context.Context, caller Caller, job string) (found bool, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	found, err = f.config.Jobs.End(ctx, jobsapi.EndRequest{Job: job, Access: caller.access()})
	f.config.Logger.Info().Str(eventlog.Field, eventlog.JobEnded).Str("id", job).Bool("known", found).Err(err).Msg("a job was ended")
	return found, err
}

// Refuse answers 503 with a time to come back.
func (f *Front) Reject(w http.ResponseWriter, r *http.Request, reason string) {
	f.refuse(w, r, "", reason)
}
