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

// methodReports carries a ReportBatch to the leader.
const methodReports = "site.reports"

const (
	// batchInterval is how long a member collects reports for the leader, to save
	// it a call per report, which costs the leader more than the log entry. With a call each,
	// the leader could accept a tenth of the reports that arrived per second while a fleet of
	// 10,000 replicas started.
	batchInterval = 40 * time.Millisecond
	// maxReports limits the reports of a batch, maxBatchBytes their size: a batch that exceeds a
	// message fails all of its reports.
	maxReports    = 400
	maxBatchBytes = 4 << 20
)

// ReportBatch holds replicas' reports that a member accepted for the leader.
type ReportBatch struct {
	Reports []sitestate.Replica `cbor:"1,keyasint"`
}

// ReportAnswers holds the outcomes of the reports of a ReportBatch, in order.
type ReportAnswers struct {
	Answers []ReportAnswer `cbor:"1,keyasint"`
}

// ReportAnswer is the outcome of a report.
type ReportAnswer struct {
	// NotLeader is set if the called member no longer leads.
	NotLeader bool `cbor:"1,keyasint,omitempty"`
	// Code and Message describe a rejection; Code is empty if the report was accepted.
	Code    port.Code `cbor:"2,keyasint,omitempty"`
	Message string    `cbor:"3,keyasint,omitempty"`
}

// err returns the rejection, or nil.
func (a ReportAnswer) err() error {
	if a.Code == "" {
		return nil
	}
	return port.NewError(port.MayHaveRun, a.Code, "%s", a.Message)
}

// reportBatcher batches the reports that this member forwards to the leader. It is safe for
// concurrent use.
type reportBatcher struct {
	control *Control
	mutex   sync.Mutex
	queue   []*pendingReport
	// pending has the queued or in-flight report of each replica start; equivalent reports
	// share it.
	pending map[reportKey]*pendingReport
	// sending is set while a goroutine sends batches.
	sending bool
}

// pendingReport is a report that waits for the leader's response.
type pendingReport struct {
	report sitestate.Replica
	// done is closed once answer and err are set.
	done   chan struct{}
	answer Answer
	err    error
}

func newReportBatcher(control *Control) *reportBatcher {
	return &reportBatcher{control: control, pending: map[reportKey]*pendingReport{}}
}

// forward forwards a report to the leader in a batch and waits for the response.
func (r *reportBatcher) forward(ctx context.Context, report sitestate.Replica) (Answer, error) {
	waiting := r.enqueue(report)
	select {
	case <-waiting.done:
		return waiting.answer, waiting.err
	case <-ctx.Done():
		return Answer{}, port.NewError(port.MayHaveRun, port.CodeUnavailable, "the leader did not answer in time")
	}
}

// enqueue returns the pending report that is equivalent, or a new one.
func (r *reportBatcher) enqueue(report sitestate.Replica) *pendingReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := keyOf(&report)
	if pending := r.pending[key]; pending != nil && equivalentReports(pending.report, report) {
		return pending
	}
	waiting := &pendingReport{report: report, done: make(chan struct{})}
	r.pending[key] = waiting
	r.queue = append(r.queue, waiting)
	if !r.sending {
		r.sending = true
		go r.send()
	}
	return waiting
}

// send sends batches, several of them concurrently, until the queue is empty.
func (r *reportBatcher) send() {
	for {
		time.Sleep(batchInterval)
		r.mutex.Lock()
		var batch []*pendingReport
		batch, r.queue = splitBatch(r.queue)
		if len(batch) == 0 {
			r.sending, r.queue = false, nil
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		go r.sendBatch(batch)
	}
}

// splitBatch returns the first reports that fit into a batch, and the others.
func splitBatch(queue []*pendingReport) (batch, rest []*pendingReport) {
	count, size := 0, 0
	for _, waiting := range queue[:min(len(queue), maxReports)] {
		size += waiting.report.MaxEncodedBytes()
		if size > maxBatchBytes && count > 0 {
			break
		}
		count++
	}
	return queue[:count], queue[count:]
}

func (r *reportBatcher) sendBatch(batch []*pendingReport) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answers, err := r.sendToLeader(ctx, batch)
	if err != nil {
		r.control.logLostReports(err)
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
		if key := keyOf(&waiting.report); r.pending[key] == waiting {
			delete(r.pending, key)
		}
		close(waiting.done)
	}
}

// sendToLeader sends a batch. Leaders of earlier builds accept only single reports.
func (r *reportBatcher) sendToLeader(ctx context.Context, batch []*pendingReport) (answers ReportAnswers, err error) {
	request := ReportBatch{}
	for _, waiting := range batch {
		request.Reports = append(request.Reports, waiting.report)
	}
	state := r.control.member.PublishedState()
	switch {
	case state == nil || state.Leader.Address == "":
		return ReportAnswers{}, nil
	case state.Leader.ID == state.Status.ID:
		return r.control.acceptReports(ctx, request), nil
	}
	err = r.control.pool.Client(state.Leader.Address).Call(ctx, methodReports, request, &answers)
	if wire.CodeOf(err) != port.CodeNotFound {
		return answers, err
	}
	for i := range request.Reports {
		var answer Answer
		err := r.control.forward(ctx, state.Leader.Address, Request{Replica: &request.Reports[i]}, &answer)
		answers.Answers = append(answers.Answers, reportAnswer(answer, err))
	}
	return answers, nil
}

// acceptReports serves a batch as the leader.
func (c *Control) acceptReports(ctx context.Context, batch ReportBatch) ReportAnswers {
	answers := ReportAnswers{Answers: make([]ReportAnswer, len(batch.Reports))}
	var tasks errgroup.Group
	for i := range batch.Reports {
		tasks.Go(func() error {
			answer, err := c.serveAsLeader(ctx, Request{Replica: &batch.Reports[i]})
			answers.Answers[i] = reportAnswer(answer, err)
			return nil
		})
	}
	_ = tasks.Wait() // tasks return no errors
	return answers
}

func reportAnswer(answer Answer, err error) ReportAnswer {
	if err == nil {
		return ReportAnswer{NotLeader: answer.NotLeader}
	}
	failure := port.AsError(err)
	return ReportAnswer{Code: failure.Code, Message: failure.Message}
}

// serveReports serves a batch from a member that considers this one the leader.
func (c *Control) serveReports(ctx context.Context, call *wire.Call) error {
	var batch ReportBatch
	if err := call.Decode(&batch); err != nil {
		return err
	}
	if len(batch.Reports) > maxReports {
		return port.NewError(port.NotRun, port.CodeTooLarge, "more than %d reports", maxReports)
	}
	return call.Send(c.acceptReports(ctx, batch))
}
