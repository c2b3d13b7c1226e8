package sitestore

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// runnerItemBytes is the memory that the runner needs for an item beyond that of its encoding.
const runnerItemBytes = 256

// serveCall serves a call about jobs as the leader, or returns the leader's address.
func (s *Store) serveCall(ctx context.Context, call *wire.Call) error {
	var request jobsapi.Request
	if err := call.Decode(&request); err != nil {
		return err
	}
	answer, err := s.serve(ctx, request)
	var notLeader *group.NotLeaderError
	switch {
	case err == nil:
	case errors.As(err, &notLeader):
		answer = jobsapi.Answer{NotLeader: true, Leader: s.leader(group.Shard(request.Shard), notLeader)}
	case errors.Is(err, group.ErrNotReady), errors.Is(err, groupmember.ErrProposalReplaced):
		return port.NewError(port.NotRun, port.CodeUnavailable, "%v", err)
	default:
		return port.AsError(err)
	}
	return call.Send(answer)
}

// leader returns the address of the leader of a shard's group, empty if this member doesn't
// know it.
func (s *Store) leader(shard group.Shard, refusal *group.NotLeaderError) string {
	if refusal.Leader.Address != "" {
		return refusal.Leader.Address
	}
	published := s.member.PublishedState()
	if published == nil || published.Shard != shard || published.Leader.Address == s.config.Address {
		return ""
	}
	return published.Leader.Address
}

func (s *Store) serve(ctx context.Context, request jobsapi.Request) (jobsapi.Answer, error) {
	shard := group.Shard(request.Shard)
	switch {
	case request.Submit != nil:
		return s.submit(ctx, shard, *request.Submit)
	case request.Page != nil:
		return s.page(ctx, shard, *request.Page)
	case request.Body != nil:
		return s.body(ctx, shard, *request.Body)
	case request.End != nil:
		return s.end(ctx, shard, *request.End)
	case request.List != nil:
		return s.list(ctx, shard)
	default:
		return jobsapi.Answer{}, port.NewError(port.NotRun, port.CodeInvalid, "empty request")
	}
}

// submit commits a job. Rejections before the proposal have the verdict port.NotRun.
func (s *Store) submit(ctx context.Context, shard group.Shard, submission jobstate.Submission) (jobsapi.Answer, error) {
	data, err := submission.Encode()
	if err != nil {
		return jobsapi.Answer{}, err
	}
	if refusal := s.checkAdmission(submission.Bytes() + len(submission.Items)*runnerItemBytes); refusal != nil {
		return s.reject(ctx, shard, submission, refusal)
	}
	result, err := s.proposeTo(ctx, shard, data)
	if err != nil {
		return jobsapi.Answer{}, err
	}
	switch outcome := result.(type) {
	case jobstate.AcceptOutcome:
		if outcome == jobstate.OwnedByOtherTenant {
			return jobsapi.Answer{}, port.NewError(port.NotRun, port.CodeInvalid, "the job's id is in use")
		}
		return jobsapi.Answer{Accepted: outcome}, nil
	default:
		return jobsapi.Answer{}, unexpectedResult(result)
	}
}

// proposeTo commits a command to a shard's group and returns its result. It returns an error if the
// members could not apply the command; they are unchanged then.
func (s *Store) proposeTo(ctx context.Context, shard group.Shard, command []byte) (any, error) {
	result, err := s.member.ProposeTo(ctx, shard, command)
	if err != nil {
		return nil, err
	}
	if unapplied, failed := result.(error); failed {
		s.config.Logger.Error().Str(eventlog.Field, eventlog.CommandNotApplied).Int("bytes", len(command)).Err(unapplied).Msg("no member can apply a command of the log")
		return nil, port.NewError(port.NotRun, port.CodeInvalid, "the members cannot apply the command: %v", unapplied)
	}
	return result, nil
}

// unexpectedResult returns the error for a result of another type than the command has.
func unexpectedResult(result any) error {
	return port.NewError(port.MayHaveRun, port.CodeInternal, "unexpected result of a command: %T", result)
}

// reject returns the rejection of a job, unless the job is already stored: the client may
// have missed that response.
func (s *Store) reject(ctx context.Context, shard group.Shard, submission jobstate.Submission, refusal *port.Error) (jobsapi.Answer, error) {
	stored, err := s.hasJob(ctx, shard, submission.ID, accessOf(submission))
	switch {
	case err != nil:
		return jobsapi.Answer{}, err
	case stored:
		return jobsapi.Answer{Accepted: jobstate.AlreadyAccepted}, nil
	default:
		return jobsapi.Answer{}, refusal
	}
}

// hasJob reports whether the shard's group stores a job that the caller may access.
func (s *Store) hasJob(ctx context.Context, shard group.Shard, job string, access *jobstate.Access) (stored bool, err error) {
	err = s.member.ReadFrom(ctx, shard, func(machine groupmember.StateMachine) {
		stored = accessibleJob(machine, job, access) != nil
	})
	return stored, err
}

// accessibleJob returns a job that the caller may access, or nil. It doesn't reveal whether
// another tenant has a job with the same id.
func accessibleJob(machine groupmember.StateMachine, id string, access *jobstate.Access) *jobstate.Job {
	job := machine.(*jobstate.State).Job(id)
	if job == nil || !access.Allows(job) {
		return nil
	}
	return job
}

// accessOf returns the access of a submission's tenant.
func accessOf(submission jobstate.Submission) *jobstate.Access {
	return &jobstate.Access{Tenant: submission.Tenant}
}

// checkAdmission rejects a job that exceeds the memory limit, and any job while a quorum is
// too small to survive the tolerated losses.
func (s *Store) checkAdmission(bytes int) *port.Error {
	limit, used := s.config.MaxJobBytes, int(s.JobBytes())
	if limit > 0 && bytes > limit {
		return port.NewError(port.NotRun, port.CodeTooLarge, "the job needs %d bytes of memory, a machine has %d for all jobs", bytes, limit)
	}
	if limit > 0 && used+bytes > limit {
		return port.NewError(port.NotRun, port.CodeQueueFull, "the shard's jobs use %d of %d bytes of memory, %d more do not fit", used, limit, bytes)
	}
	published := s.member.PublishedState()
	if published == nil {
		return port.NewError(port.NotRun, port.CodeUnavailable, "this machine has not joined the store group yet")
	}
	quorum := published.Status.Membership.Quorum()
	if quorum <= s.config.ToleratedLosses && !usesAllStores(len(published.Status.Membership.Voters), s.activeStores(), s.wantedVoters()) {
		return port.NewError(port.NotRun, port.CodeUnavailable, "a job would be stored on %d machines only", quorum)
	}
	return nil
}

// usesAllStores reports whether a group has all store machines of a site with too few for the
// tolerated losses. Such a group accepts jobs although its quorum is too small. With an even
// number of machines one of them does not vote.
func usesAllStores(voters, active, wanted int) bool {
	return active > 0 && active < wanted && voters >= active-(active+1)%2
}

// activeStores returns the number of active store machines in the current view.
func (s *Store) activeStores() int {
	view := s.config.Watcher.View()
	if view == nil {
		return 0
	}
	count := 0
	for _, store := range view.Stores {
		if store.State == sitestate.StoreActive {
			count++
		}
	}
	return count
}

// page returns results as the leader, or those applied here if a follower may serve them.
func (s *Store) page(ctx context.Context, shard group.Shard, request jobsapi.PageRequest) (jobsapi.Answer, error) {
	if request.FromFollower && !s.Leads() {
		page, err := s.appliedPage(ctx, shard, request)
		if err == nil && len(page.Results) > 0 {
			s.config.Recorder.PageServed(roleFollower)
			return jobsapi.Answer{Page: page, Follower: true}, nil
		}
	}
	answer, err := s.leaderPage(ctx, shard, request)
	if err == nil {
		s.config.Recorder.PageServed(roleLeader)
	}
	return answer, err
}

// Roles of the members that serve pages, in metrics.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
)

// appliedPage returns the results applied on this member, which may lack the latest ones.
func (s *Store) appliedPage(ctx context.Context, shard group.Shard, request jobsapi.PageRequest) (page jobstate.Page, err error) {
	err = s.member.InspectFrom(ctx, shard, func(machine groupmember.StateMachine) {
		job := accessibleJob(machine, request.Job, request.Access)
		if job != nil && exceedingBytes(job, request) == 0 { // the leader reports the size
			page = job.Page(request.From, request.MaxBytes)
		}
	})
	return page, err
}

// leaderPage returns results; it waits for one if there is none yet.
func (s *Store) leaderPage(ctx context.Context, shard group.Shard, request jobsapi.PageRequest) (jobsapi.Answer, error) {
	timeout := time.After(time.Duration(request.WaitMillis) * time.Millisecond)
	for {
		change := s.nextChange()
		answer := jobsapi.Answer{Unknown: true}
		err := s.member.ReadFrom(ctx, shard, func(machine groupmember.StateMachine) {
			if job := accessibleJob(machine, request.Job, request.Access); job != nil {
				answer = pageAnswer(job, request)
			}
		})
		if err != nil || answer.Unknown || answer.Bytes > 0 || len(answer.Page.Results) > 0 || answer.Page.Ended || answer.Page.Next == answer.Page.Total {
			return answer, err
		}
		select {
		case <-change:
		case <-timeout:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// pageAnswer returns a page of a job, or the size of its first result if that exceeds a strict limit.
func pageAnswer(job *jobstate.Job, request jobsapi.PageRequest) jobsapi.Answer {
	if bytes := exceedingBytes(job, request); bytes > 0 {
		return jobsapi.Answer{Bytes: bytes}
	}
	return jobsapi.Answer{Page: job.Page(request.From, request.MaxBytes)}
}

// exceedingBytes returns the size of the first result of a page if that exceeds a strict limit, else 0.
func exceedingBytes(job *jobstate.Job, request jobsapi.PageRequest) int {
	if bytes := job.NextResultBytes(request.From); request.Strict && bytes > request.MaxBytes {
		return bytes
	}
	return 0
}

// body returns the body of an item that has no result yet, unless its job has ended.
func (s *Store) body(ctx context.Context, shard group.Shard, request jobsapi.BodyRequest) (jobsapi.Answer, error) {
	answer := jobsapi.Answer{Unknown: true}
	err := s.member.ReadFrom(ctx, shard, func(machine groupmember.StateMachine) {
		job := accessibleJob(machine, request.Job, request.Access)
		if job == nil {
			return
		}
		for i := range job.Items {
			if job.Items[i].Item.ID == request.Item && job.Items[i].Result == jobstate.ResultNone && !job.Ended {
				answer = bodyAnswer(job.Items[i].Item.Body, request.MaxBytes)
				return
			}
		}
	})
	return answer, err
}

// bodyAnswer returns a body, or its size if that exceeds a limit other than 0.
func bodyAnswer(body []byte, limit int) jobsapi.Answer {
	if limit > 0 && len(body) > limit {
		return jobsapi.Answer{Bytes: len(body)}
	}
	return jobsapi.Answer{Body: body}
}

// end ends a job. It proposes nothing for an unknown job, because clients call all shards.
func (s *Store) end(ctx context.Context, shard group.Shard, request jobsapi.EndRequest) (jobsapi.Answer, error) {
	stored, err := s.hasJob(ctx, shard, request.Job, request.Access)
	if err != nil || !stored {
		return jobsapi.Answer{Unknown: err == nil}, err
	}
	data, err := jobstate.Command{End: &jobstate.End{ID: request.Job}}.Encode()
	if err != nil {
		return jobsapi.Answer{}, err
	}
	result, err := s.proposeTo(ctx, shard, data)
	if err != nil {
		return jobsapi.Answer{}, err
	}
	found, known := result.(bool)
	if !known {
		return jobsapi.Answer{}, unexpectedResult(result)
	}
	return jobsapi.Answer{Unknown: !found}, nil
}

func (s *Store) list(ctx context.Context, shard group.Shard) (jobsapi.Answer, error) {
	var answer jobsapi.Answer
	err := s.member.ReadFrom(ctx, shard, func(machine groupmember.StateMachine) {
		for _, job := range machine.(*jobstate.State).Jobs() {
			answer.Jobs = append(answer.Jobs, summarize(job))
		}
	})
	return answer, err
}

func summarize(job *jobstate.Job) jobsapi.JobSummary {
	summary := jobsapi.JobSummary{
		ID: job.Submission.ID, Items: len(job.Items), Results: len(job.Results), Ended: job.Ended,
		Model: job.Submission.Model, Step: job.Submission.Step, Accepted: job.AcceptedAt,
	}
	for _, item := range job.Items {
		if item.Result == jobstate.ResultErrored {
			summary.Errored++
		}
	}
	return summary
}
