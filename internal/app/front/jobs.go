package front

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// submitTimeout limits the calls that change a job, beyond the jobsapi.SizeAllowance of a submission,
	// and readTimeout the other calls.
	submitTimeout = 2500 * time.Millisecond
	readTimeout   = 1200 * time.Millisecond
	// maxWait limits how long a read may wait for a result.
	maxWait = time.Second
	// largeJobBytes is the size of a body above which the front asks whether the job is stored before it
	// decodes the body: a client that had no answer in time sends it again.
	largeJobBytes = 1 << 20
)

// submit accepts a job. It responds with 202 once the group of the job's shard has stored
// the job, and with 504 if the outcome is unknown: 503 would guarantee that no part of the
// job runs.
func (f *Front) submit(w http.ResponseWriter, r *http.Request, view *siteview.View, route *routing.Route, caller Caller, body []byte, reservation *membudget.Reservation) {
	if r.Method != http.MethodPost {
		f.deny(w, r, view, route.Name, http.StatusMethodNotAllowed, "jobs are submitted by POST")
		return
	}
	id := r.Header.Get(f.headers.RequestID)
	if id == "" {
		f.writeError(w, r, route.Name, http.StatusBadRequest, "a job needs an id: header "+f.headers.RequestID)
		return
	}
	if len(body) > largeJobBytes && f.isStored(r.Context(), caller, id) {
		f.config.Logger.Info().Str(eventlog.Field, eventlog.JobAccepted).Str("id", id).Str("route", route.Name).Bool("before", true).Msg("job accepted")
		w.WriteHeader(http.StatusAccepted)
		return
	}
	switch cost := f.config.Dialect.JobCost(body); {
	case !reservation.Fits(cost):
		f.writeError(w, r, route.Name, http.StatusRequestEntityTooLarge, "the job takes more memory than the front has for bodies")
		return
	case !reservation.Reserve(cost):
		f.reject(w, r, route.Name, "the memory budget has no space for the job")
		return
	}
	submission, err := f.config.Dialect.DecodeJob(body)
	if err != nil {
		f.jobFailed(w, r, route.Name, err)
		return
	}
	submission.ID = id
	submission.Host, submission.OneVersion, submission.Tenant = r.Host, route.OneVersion, caller.name()
	submission.Path, _, _ = strings.Cut(target(r), "?")
	submission.Configuration = view.Table.Version()
	if err := validate(&submission); err != nil {
		f.jobFailed(w, r, route.Name, err)
		return
	}
	timeout := min(submitTimeout+jobsapi.SizeAllowance(&submission), f.timeout(r, route))
	if !f.endsBeforeStop(time.Now().Add(timeout)) {
		f.reject(w, r, route.Name, proxy.ErrStopping.Error())
		return
	}
	// A submission in flight continues after the client disconnects: it may be stored.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
	defer cancel()
	startedAt := time.Now()
	accepted, err := f.config.Jobs.Submit(ctx, &submission, routing.AllowedRegionsOf(route, caller.tenant))
	if err != nil {
		if failure := port.AsError(err); failure.Code == port.CodeInvalid && f.tenantIsUnconfirmed(caller) {
			err = port.NewError(failure.Verdict, port.CodeUnconfirmed, "%s, and the caller's tenant is not confirmed", failure.Message)
		}
		f.jobFailed(w, r, route.Name, err)
		return
	}
	f.config.Logger.Info().Str(eventlog.Field, eventlog.JobAccepted).Str("id", submission.ID).Str("route", route.Name).Str("model", submission.Model).
		Int("items", len(submission.Items)).Uint64("step", submission.Step).Uint64("min_version", submission.MinVersion).
		Bool("before", accepted == jobstate.AlreadyAccepted).Dur("took", time.Since(startedAt)).Msg("job accepted")
	w.WriteHeader(http.StatusAccepted)
}

// isStored reports whether a job of the caller is known to be stored.
func (f *Front) isStored(ctx context.Context, caller Caller, id string) bool {
	if !utf8.ValidString(id) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, found, err := f.config.Jobs.Page(ctx, jobsapi.PageRequest{Job: id, From: math.MaxInt32, Access: caller.access()})
	return found && err == nil
}

// validate returns an error for a job that no shard can store, and for an item whose request, or reward call,
// no replica can be sent: it would never complete.
func validate(submission *jobstate.Submission) error {
	if _, err := submission.Encode(); err != nil {
		return err
	}
	for i := range submission.Items {
		if err := replicacall.ValidateItem(submission.Host, &submission.Items[i]); err != nil {
			return port.NewError(port.NotRun, port.CodeInvalid, "item %d of the job cannot run: %v", i, err)
		}
	}
	return nil
}

func (f *Front) jobFailed(w http.ResponseWriter, r *http.Request, route string, err error) {
	failure := port.AsError(err)
	switch {
	case failure.Code == port.CodeInvalid:
		f.writeError(w, r, route, http.StatusBadRequest, failure.Message)
	case failure.Code == port.CodeTooLarge:
		f.writeError(w, r, route, http.StatusRequestEntityTooLarge, failure.Message)
	case failure.Verdict == port.NotRun:
		f.reject(w, r, route, failure.Message)
	default:
		f.writeError(w, r, route, http.StatusGatewayTimeout, failure.Message)
	}
}

// tenantIsUnconfirmed reports whether the caller, which reaches only the jobs of its tenant, may be another
// tenant in the current configuration.
func (f *Front) tenantIsUnconfirmed(caller Caller) bool {
	return caller.restricted && !f.config.Watcher.IsCurrent(caller.table)
}

// checkAbsence returns err, or an error if a job that was not found may be that of another tenant, which the
// caller is by now.
func (f *Front) checkAbsence(caller Caller, found bool, err error) error {
	if err != nil || found || !f.tenantIsUnconfirmed(caller) {
		return err
	}
	return port.NewError(port.NotRun, port.CodeUnconfirmed, "the tenant has no such job, and the caller's tenant is not confirmed")
}

// EndJob ends a job. No further items of it run.
func (f *Front) EndJob(ctx context.Context, caller Caller, job string) (found bool, err error) {
	if !utf8.ValidString(job) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	found, err = f.config.Jobs.End(ctx, jobsapi.EndRequest{Job: job, Access: caller.access()})
	err = f.checkAbsence(caller, found, err)
	f.config.Logger.Info().Str(eventlog.Field, eventlog.JobEnded).Str("id", job).Bool("known", found).Err(err).Msg("job ended")
	return found, err
}

// Reject rejects a request with 503 and a Retry-After.
func (f *Front) Reject(w http.ResponseWriter, r *http.Request, reason string) {
	f.reject(w, r, "", reason)
}
