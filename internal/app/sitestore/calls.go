package sitestore

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxJobBytes bounds a job's encoding: it is one entry of the log.
const maxJobBytes = consensus.MaxEntryBytes - 1<<10

// serveCall answers a call about jobs, as the leader or by naming it.
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

// leader gives the address of the leader of a shard's group, if this machine knows it.
func (s *Store) leader(shard group.Shard, refusal *group.NotLeaderError) string {
	if refusal.Leader.Address != "" {
		return refusal.Leader.Address
	}
	shown := s.member.PublishedState()
	if shown == nil || shown.Shard != shard || shown.Leader.Address == s.config.Address {
		return ""
	}
	return shown.Leader.Address
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

// submit keeps a job. Before it is proposed, a refusal is as not run; after
// that its outcome is known or left open.
func (s *Store) submit(ctx context.Context, shard group.Shard, submission jobstate.Submission) (jobsapi.Answer, error) {
	data, err := jobstate.Command{Accept: &submission}.Encode()
	if err != nil {
		return jobsapi.Answer{}, port.NewError(port.NotRun, port.CodeInvalid, "%v", err)
	}
	if refusal := s.mayAccept(len(data)); refusal != nil {
		return s.refuse(ctx, shard, submission, refusal)
	}
	if len(data) > maxJobBytes {
		return jobsapi.Answer{}, port.NewError(port.NotRun, port.CodeTooLarge, "the job is larger than %d bytes", maxJobBytes)
	}
	result, err := s.member.ProposeTo(ctx, shard, data)
	if err != nil {
		return jobsapi.Answer{}, err
	}
	outcome, _ := result.(jobstate.AcceptOutcome)
	if outcome == jobstate.OwnedByOtherTenant {
		return jobsapi.Answer{}, port.NewError(port.NotRun, port.CodeInvalid, "the job's id is taken")
	}
	return jobsapi.Answer{Accepted: outcome}, nil
}

// refuse refuses a job, unless it was kept before and its client did not hear so.
func (s *Store) refuse(ctx context.Context, shard group.Shard, submission jobstate.Submission, refusal *port.Error) (jobsapi.Answer, error) {
	held, err := s.holds(ctx, shard, submission.ID, accessOf(submission))
	switch {
	case err != nil:
		return jobsapi.Answer{}, err
	case held:
		return jobsapi.Answer{Accepted: jobstate.AlreadyAccepted}, nil
	default:
		return jobsapi.Answer{}, refusal
	}
}

// holds reports whether a shard's group has a job that the call may reach.
func (s *Store) holds(ctx context.Context, shard group.Shard, job string, access *jobstate.Access) (held bool, err error) {
	err = s.member.ReadFrom(ctx, shard, func(machine groupmember.StateMachine) {
		held = reachable(machine, job, access) != nil
	})
	return held, err
}

// reachable finds a job that a call may reach, or nil: whether another tenant has one of
// the same id is nobody else's business.
func reachable(machine groupmember.StateMachine, id string, access *jobstate.Access) *jobstate.Job {
	job := machine.(*jobstate.State).Job(id)
	if job == nil || !access.Allows(job) {
		return nil
	}
	return job
}

// accessOf gives the access of who hands a job in.
func accessOf(submission jobstate.Submission) *jobstate.Access {
	return &jobstate.Access{Tenant: submission.Tenant}
}

// mayAccept refuses while a quorum is too small to outlive the tolerated losses, and jobs
// of so many bytes that the memory has no room for.
func (s *Store) mayAccept(bytes int) *port.Error {
	if most, held := s.config.MaxJobBytes, int(s.JobBytes()); most > 0 && held+bytes > most {
		return port.NewError(port.NotRun, port.CodeQueueFull, "the shard's jobs take %d of %d bytes of memory; %d more have no room", held, most, bytes)
	}
	shown := s.member.PublishedState()
	if shown == nil {
		return port.NewError(port.NotRun, port.CodeUnavailable, "this machine takes no part in the store group yet")
	}
	quorum := shown.Status.Membership.Quorum()
	if quorum <= s.config.ToleratedLosses && !allThereIs(len(shown.Status.Membership.Voters), s.activeStores(), s.wantedVoters()) {
		return port.NewError(port.NotRun, port.CodeUnavailable, "a job would be kept by %d machines only", quorum)
	}
	return nil
}

// allThereIs reports whether a group holds every store machine of a site that has
// too few of them for the losses it is to bear. It then keeps jobs as safely as
// it can, rather than none at all. An even number gives one voter less.
func allThereIs(voters, active, wanted int) bool {
	return active > 0 && active < wanted && voters >= active-(active+1)%2
}

// activeStores counts the store machines of the site, as far as is known here.
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

// page gives results, as the leader or with what this member has applied.
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

// Who served a page, in metrics.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
)

// appliedPage gives the results that this member has applied: all, or the first of those
// that there are.
func (s *Store) appliedPage(ctx context.Context, shard group.Shard, request jobsapi.PageRequest) (page jobstate.Page, err error) {
	err = s.member.InspectFrom(ctx, shard, func(machine groupmember.StateMachine) {
		if job := reachable(machine, request.Job, request.Access); job != nil {
			page = job.Page(request.From, request.MaxBytes)
		}
	})
	return page, err
}

// leaderPage gives results; it waits for one if there is none yet.
func (s *Store) leaderPage(ctx context.Context, shard group.Shard, request jobsapi.PageRequest) (jobsapi.Answer, error) {
	waited := time.After(time.Duration(request.WaitMillis) * time.Millisecond)
	for {
		news := s.awaitNews()
		answer := jobsapi.Answer{Unknown: true}
		err := s.member.ReadFrom(ctx, shard, func(machine groupmember.StateMachine) {
			if job := reachable(machine, request.Job, request.Access); job != nil {
				answer = jobsapi.Answer{Page: job.Page(request.From, request.MaxBytes)}
			}
		})
		if err != nil || answer.Unknown || len(answer.Page.Results) > 0 || answer.Page.Ended || answer.Page.Next == answer.Page.Total {
			return answer, err
		}
		select {
		case <-news:
		case <-waited:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// body gives the body of an item that is not listed yet, until its job ends.
func (s *Store) body(ctx context.Context, shard group.Shard, request jobsapi.BodyRequest) (jobsapi.Answer, error) {
	answer := jobsapi.Answer{Unknown: true}
	err := s.member.ReadFrom(ctx, shard, func(machine groupmember.StateMachine) {
		job := reachable(machine, request.Job, request.Access)
		if job == nil {
			return
		}
		for i := range job.Items {
			if job.Items[i].Item.ID == request.Item && job.Items[i].Result == jobstate.ResultNone && !job.Ended {
				answer = jobsapi.Answer{Body: job.Items[i].Item.Body}
				return
			}
		}
	})
	return answer, err
}

// end ends a job. One that this shard does not know costs no entry of the log: clients
// ask all shards.
func (s *Store) end(ctx context.Context, shard group.Shard, request jobsapi.EndRequest) (jobsapi.Answer, error) {
	held, err := s.holds(ctx, shard, request.Job, request.Access)
	if err != nil || !held {
		return jobsapi.Answer{Unknown: err == nil}, err
	}
	data, err := jobstate.Command{End: &jobstate.End{ID: request.Job}}.Encode()
	if err != nil {
		return jobsapi.Answer{}, err
	}
	result, err := s.member.ProposeTo(ctx, shard, data)
	if err != nil {
		return jobsapi.Answer{}, err
	}
	known, _ := result.(bool)
	return jobsapi.Answer{Unknown: !known}, nil
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
