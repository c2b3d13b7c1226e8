package sitecontrol

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// methodReports takes a ReportBatch to the leader.
const methodReports = "site.reports"

const (
	// reportPause is how long a member collects reports that the leader has to see. A call
	// for each costs the leader more than the entry in the log: at the start of a fleet, of
	// 10,000 replicas, it could take a tenth of those that came each second.
	reportPause = 40 * time.Millisecond
	// maxReports bounds a batch.
	maxReports = 400
)

// ReportBatch are replicas' reports that a member took for the leader.
type ReportBatch struct {
	Reports []sitestate.Replica `cbor:"1,keyasint"`
}

// ReportAnswers answers a ReportBatch, one for each report.
type ReportAnswers struct {
	Answers []ReportAnswer `cbor:"1,keyasint"`
}

// ReportAnswer says what became of a report.
type ReportAnswer struct {
	// NotLeader is set if the member does not lead any more.
	NotLeader bool `cbor:"1,keyasint,omitempty"`
	// Code and Message are those of a refusal; Code is empty if the report was taken.
	Code    port.Code `cbor:"2,keyasint,omitempty"`
	Message string    `cbor:"3,keyasint,omitempty"`
}

// err gives the refusal, or nil.
func (a ReportAnswer) err() error {
	if a.Code == "" {
		return nil
	}
	return port.NewError(port.MayHaveRun, a.Code, "%s", a.Message)
}

// reports collects what this member has to pass on to the leader. It is safe for concurrent
// use.
type reports struct {
	control *Control
	mutex   sync.Mutex
	waiting []*waitingReport
	// open finds the report of a start that waits or is under way: one that says the same
	// waits with it.
	open map[reportKey]*waitingReport
	// sending is set while a goroutine collects and sends.
	sending bool
}

// waitingReport is a report whose senders wait for the leader's word.
type waitingReport struct {
	report sitestate.Replica
	// done is closed once answer and err are set.
	done   chan struct{}
	answer Answer
	err    error
}

func newReports(control *Control) *reports {
	return &reports{control: control, open: map[reportKey]*waitingReport{}}
}

// forward passes a report on with others that come at the same time.
func (r *reports) forward(ctx context.Context, report sitestate.Replica) (Answer, error) {
	waiting := r.join(report)
	select {
	case <-waiting.done:
		return waiting.answer, waiting.err
	case <-ctx.Done():
		return Answer{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "the leader did not answer in time")
	}
}

// join gives the report under way that says the same, or a new one.
func (r *reports) join(report sitestate.Replica) *waitingReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := keyOf(&report)
	if held := r.open[key]; held != nil && saysTheSame(held.report, report) {
		return held
	}
	waiting := &waitingReport{report: report, done: make(chan struct{})}
	r.open[key] = waiting
	r.waiting = append(r.waiting, waiting)
	if !r.sending {
		r.sending = true
		go r.send()
	}
	return waiting
}

// send passes batches on until nothing waits. Several may be under way.
func (r *reports) send() {
	for {
		time.Sleep(reportPause)
		r.mutex.Lock()
		batch := r.waiting[:min(len(r.waiting), maxReports)]
		r.waiting = r.waiting[len(batch):]
		if len(batch) == 0 {
			r.sending, r.waiting = false, nil
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		go r.sendBatch(batch)
	}
}

func (r *reports) sendBatch(batch []*waitingReport) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answers, err := r.ask(ctx, batch)
	if err != nil {
		r.control.notePassedOn(err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, waiting := range batch {
		switch {
		case err != nil:
			waiting.err = err
		case i >= len(answers.Answers) || answers.Answers[i].NotLeader:
			waiting.answer = Answer{NotLeader: true}
		default:
			waiting.err = answers.Answers[i].err()
		}
		if key := keyOf(&waiting.report); r.open[key] == waiting {
			delete(r.open, key)
		}
		close(waiting.done)
	}
}

// ask asks the leader. One of an earlier build takes reports one by one.
func (r *reports) ask(ctx context.Context, batch []*waitingReport) (answers ReportAnswers, err error) {
	asked := ReportBatch{}
	for _, waiting := range batch {
		asked.Reports = append(asked.Reports, waiting.report)
	}
	shown := r.control.member.PublishedState()
	switch {
	case shown == nil || shown.Leader.Address == "":
		return ReportAnswers{}, nil
	case shown.Leader.ID == shown.Status.ID:
		return r.control.takeReports(ctx, asked), nil
	}
	err = r.control.pool.Client(shown.Leader.Address).Call(ctx, methodReports, asked, &answers)
	if wire.CodeOf(err) != port.CodeNotFound {
		return answers, err
	}
	for i := range asked.Reports {
		var answer Answer
		err := r.control.forward(ctx, shown.Leader.Address, Request{Replica: &asked.Reports[i]}, &answer)
		answers.Answers = append(answers.Answers, reportAnswer(answer, err))
	}
	return answers, nil
}

// takeReports serves reports as the leader.
func (c *Control) takeReports(ctx context.Context, batch ReportBatch) ReportAnswers {
	answers := ReportAnswers{Answers: make([]ReportAnswer, len(batch.Reports))}
	var tasks errgroup.Group
	for i := range batch.Reports {
		tasks.Go(func() error {
			answer, err := c.serveHere(ctx, Request{Replica: &batch.Reports[i]})
			answers.Answers[i] = reportAnswer(answer, err)
			return nil
		})
	}
	_ = tasks.Wait() // none fails: each has its answer
	return answers
}

func reportAnswer(answer Answer, err error) ReportAnswer {
	if err == nil {
		return ReportAnswer{NotLeader: answer.NotLeader}
	}
	failure := port.AsError(err)
	return ReportAnswer{Code: failure.Code, Message: failure.Message}
}

// serveReports answers another member, which takes this one for the leader.
func (c *Control) serveReports(ctx context.Context, call *wire.Call) error {
	var batch ReportBatch
	if err := call.Decode(&batch); err != nil {
		return err
	}
	if len(batch.Reports) > maxReports {
		return port.NewError(port.NotRun, port.CodeTooLarge, "more than %d reports", maxReports)
	}
	return call.Send(c.takeReports(ctx, batch))
}
