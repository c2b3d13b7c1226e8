package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/balance"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxBodyBytes limits what is read of an answer before it is forwarded.
const maxBodyBytes = 64 << 20

// class classifies the result of a try.
type class uint8

// String implements fmt.Stringer.
func (c class) String() string {
	switch c {
	case classAnswer:
		return "answer"
	case classError:
		return "error"
	case classRefused:
		return "refused"
	case classNotSent:
		return "not sent"
	default:
		return "may have run"
	}
}

const (
	classAnswer     class = iota // an answer to return
	classError                   // a 5xx answer: the replica ran the request and failed
	classRefused                 // the replica did not run the request
	classNotSent                 // no part of the request was sent
	classMayHaveRun              // the request may have run
)

// result is the result of one try.
type result struct {
	class   class
	answer  *Answer
	reason  error
	replica string
	// status is that of the replica's response, 0 if there was none.
	status int
	took   time.Duration
	// misdirected is set if the request reached another instance than the expected one.
	misdirected bool
	// timedOut is set if the caller's deadline ended the try.
	timedOut bool
}

// try sends the request once, after it waited for a connection.
func (e *exchange) try(ctx context.Context, replica sitestate.Replica, waited time.Duration) {
	startedAt, sentAt := time.Now(), e.proxy.clock()
	sent := e.request.Request
	sent.Header = sent.Header.Clone()
	res := e.send(replica, sent)
	release := func() { e.proxy.releaseConnection(replica.Address) }
	if res.answer != nil && res.answer.Stream != nil {
		context.AfterFunc(ctx, release)
	} else {
		release()
	}
	res.replica, res.took = replica.ID, time.Since(startedAt)
	if res.answer != nil {
		res.answer.SentAt = sentAt
	}
	if res.class == classAnswer || res.class == classError {
		e.proxy.guard.RecordAnswer(replica.ID, startedAt)
	}
	e.proxy.finishTry(e.request.Service, replica.ID, e.balancerResult(res), res.took)
	if e.limit != nil {
		res.timedOut = errors.Is(context.Cause(e.ctx), context.DeadlineExceeded)
		// For the limit, waiting for a connection is part of the service's latency.
		e.limit.endTry(res, waited+res.took, e.request.limitAim())
	}
	e.results <- res
}

// balancerResult converts the result of a try for the balancer.
func (e *exchange) balancerResult(res result) balance.Result {
	switch {
	case res.class == classAnswer:
		return balance.ResultServed
	case res.class == classRefused:
		return balance.ResultFull
	case e.ctx.Err() != nil:
		return balance.ResultCancelled
	default:
		return balance.ResultFailed
	}
}

func (e *exchange) send(replica sitestate.Replica, request replicacall.Request) result {
	response, err := e.proxy.client.Send(e.ctx, replica, request)
	if err != nil {
		if port.AsError(err).Verdict == port.NotRun {
			return result{class: classNotSent, reason: err}
		}
		return result{class: classMayHaveRun, reason: err}
	}
	res := e.receive(replica, response)
	res.status = response.StatusCode
	return res
}

// receive reads the response of a replica.
func (e *exchange) receive(replica sitestate.Replica, response *http.Response) result {
	e.proxy.recordLoad(replica.ID, response.Header)
	if e.proxy.client.RefusedAsNotRun(response) {
		httpcall.Drain(response)
		return result{
			class: classRefused, reason: errors.New("refused with status " + http.StatusText(response.StatusCode)),
			misdirected: response.StatusCode == http.StatusMisdirectedRequest,
		}
	}
	if err := httpcall.CheckEnd(response); err != nil {
		_ = response.Body.Close()
		return result{class: classMayHaveRun, reason: err}
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Replica: replica, reservation: e.reservation}
	succeeded := response.StatusCode/100 == 2
	if succeeded && (response.Header.Get(e.proxy.headers.RequestID) == "" || response.Header.Get(e.proxy.headers.Signature) == "") {
		_ = response.Body.Close()
		return result{class: classMayHaveRun, reason: errors.New("a successful answer without the request's id or a signature")}
	}
	if e.request.Method == http.MethodHead {
		return finished(response, answer, nil)
	}
	if e.request.Stream && succeeded {
		answer.Stream = response
		return result{class: classAnswer, answer: answer}
	}
	if e.request.DiscardBody {
		_, err := io.Copy(io.Discard, response.Body)
		return finished(response, answer, err)
	}
	var rest io.Reader
	var complete bool
	var err error
	answer.Body, rest, complete, err = membudget.Read(io.LimitReader(response.Body, maxBodyBytes), min(response.ContentLength, maxBodyBytes), e.reservation)
	if complete && err == nil && len(answer.Body) == maxBodyBytes { // there may be more
		rest, complete = bytes.NewReader(answer.Body), false
	}
	if !complete {
		response.Body = unbufferedBody{Reader: io.MultiReader(rest, response.Body), Closer: response.Body}
		answer.Stream = response
		return result{class: classAnswer, answer: answer}
	}
	return finished(response, answer, err)
}

// finished returns the result of a try whose body was read with err.
func finished(response *http.Response, answer *Answer, err error) result {
	_ = response.Body.Close()
	switch {
	case err != nil:
		return result{class: classMayHaveRun, reason: err}
	case response.StatusCode >= http.StatusInternalServerError:
		return result{class: classError, answer: answer}
	default:
		return result{class: classAnswer, answer: answer}
	}
}

// unbufferedBody is the body of an answer that exceeds the memory budget or maxBodyBytes: the
// part that was already read, then the rest.
type unbufferedBody struct {
	io.Reader
	io.Closer
}
