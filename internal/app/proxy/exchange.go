package proxy

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/app/held"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/balance"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// maxTries bounds the sends of one request, those that were refused too.
	maxTries = 12
	// refusedPause is waited once every replica has refused.
	refusedPause = 30 * time.Millisecond
	// refusedRounds is how often that is waited before the request is given up.
	refusedRounds = 3
	// maxBodyBytes bounds an answer that is read whole.
	maxBodyBytes = 64 << 20
)

// class says what a result means for the request.
type class uint8

const (
	classAnswer  class = iota // an answer to hand on
	classError                // an answer of 5xx: the replica ran and failed
	classRefused              // the replica did not run the request
	classNotSent              // nothing of the request left
	classBroken               // the request may have run
)

// result is the end of one try.
type result struct {
	class   class
	answer  *Answer
	reason  error
	replica string
}

// exchange is one request on its way. Its goroutine is that of Do.
type exchange struct {
	proxy   *Proxy
	request Request
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	// came is when the request came and expires when its caller waits no longer, 0 for never,
	// by the proxy's clock.
	came, expires time.Duration

	results chan result
	// holding is what is held of answers, of all tries.
	holding *held.Holding
	tried   map[string]bool
	// names are the replicas tried, in order.
	names   []string
	sends   int // tries begun
	ran     int // tries that ran or may have, or still may
	active  int
	notSent int // tries of which nothing left
	rounds  int
	lastErr error
	// broke are the replicas that ended the connection while the request was there.
	broke []string
	// admitted is what the guard said of the request; withheld is set once it may not be
	// sent any more.
	admitted guard.Admission
	withheld bool
	// late is set once the caller waits no longer.
	late bool
	// lastAnswer is the newest answer of 5xx, handed on if no try does better.
	lastAnswer *Answer
}

func (e *exchange) do() (*Answer, *Failure) {
	e.admitted = e.proxy.guard.Admit(e.ctx, e.request.identity())
	e.withheld = e.admitted.Withheld
	if e.withheld {
		return e.finish()
	}
	switch {
	case e.launch():
	case e.late:
		return e.finish()
	default:
		return nil, e.failNone()
	}
	hedge := time.NewTimer(e.proxy.hedgeAfter(e.request))
	defer hedge.Stop()
	var again <-chan time.Time
	for {
		select {
		case ended := <-e.results:
			e.active--
			if answer, done := e.take(ended); done {
				return answer, nil
			}
			if e.active > 0 {
				continue
			}
			wait, goOn := e.next(ended)
			if !goOn {
				return e.finish()
			}
			if wait == 0 {
				e.launch()
				if e.active == 0 {
					return e.finish()
				}
				continue
			}
			again = time.After(wait)
		case <-again:
			again = nil
			if !e.launch() {
				return e.finish()
			}
		case <-hedge.C:
			// A stream must not run at two replicas at once.
			if e.mayTryAgain() && e.active == 1 && !e.request.Stream {
				e.launch()
			}
		case <-e.ctx.Done():
			return nil, e.ended()
		}
	}
}

// take looks at the end of a try; done is set for an answer to hand on.
func (e *exchange) take(ended result) (answer *Answer, done bool) {
	switch ended.class {
	case classAnswer:
		if ended.answer.Stream == nil {
			e.served()
		}
		return ended.answer, true
	case classError:
		e.served()
		e.lastAnswer = ended.answer
	case classRefused, classNotSent:
		if ended.class == classNotSent {
			e.notSent++
		}
		e.ran--
		e.lastErr = ended.reason
	case classBroken:
		e.lastErr = ended.reason
		if httpcall.BrokenOff(ended.reason) {
			e.blame(ended.replica)
		}
	}
	return nil, false
}

// next tells whether and after what pause to try again, once no try is left.
func (e *exchange) next(ended result) (wait time.Duration, goOn bool) {
	if e.sends >= e.mostSends() {
		return 0, false
	}
	if ended.class == classError || ended.class == classBroken {
		return 0, e.mayTryAgain()
	}
	if e.ran > 0 && !e.mayTryAgain() {
		return 0, false
	}
	if e.allTried() {
		e.rounds++
		clear(e.tried)
		return refusedPause, e.rounds <= refusedRounds
	}
	return 0, true
}

func (e *exchange) allTried() bool {
	for _, replica := range e.proxy.candidates(&e.request, time.Now()).replicas {
		if !e.tried[replica.ID] {
			return false
		}
	}
	return true
}

// mayTryAgain reports whether another replica may run the request too.
func (e *exchange) mayTryAgain() bool {
	return e.request.Repeatable && e.ran < max(1, e.request.MaxAttempts) && e.sends < e.mostSends() && e.ctx.Err() == nil
}

// finish hands on the best that there is once no try is left.
func (e *exchange) finish() (*Answer, *Failure) {
	if e.lastAnswer != nil {
		return e.lastAnswer, nil
	}
	reason := "every replica refused"
	if e.lastErr != nil {
		reason = e.lastErr.Error()
	}
	switch {
	case e.late:
		return nil, e.fail(port.CodeDeadline, "the machine was suspended for longer than the caller waits")
	case e.ran > 0:
		return nil, e.fail(port.CodeBackEnd, reason)
	case e.withheld:
		return nil, e.fail(port.CodeWithheld, "replicas have ended under this request")
	default:
		return nil, e.fail(port.CodeQueueFull, reason)
	}
}

// ended is the failure of a request whose context ended.
func (e *exchange) ended() *Failure {
	if errors.Is(context.Cause(e.ctx), context.DeadlineExceeded) {
		return e.fail(port.CodeDeadline, "no answer in time")
	}
	return e.fail(port.CodeCancelled, "the caller left")
}

func (e *exchange) fail(code port.Code, reason string) *Failure {
	verdict := port.NotRun
	if e.ran > 0 {
		verdict = port.MayHaveRun
	}
	return &Failure{Verdict: verdict, Code: code, Reason: reason, Began: e.came, RetryAfter: e.admitted.RetryAfter}
}

// failNone is the failure of a request for which there is no replica.
func (e *exchange) failNone() *Failure {
	reason, retryAfter := e.proxy.whyNone(&e.request)
	failure := e.fail(port.CodeNoBackEnd, reason)
	failure.RetryAfter = cmp.Or(failure.RetryAfter, retryAfter)
	return failure
}

// expired reports whether the caller waits no longer. The timer of the context stands still
// while the machine is suspended: it is set to what is left, so that replicas are told that.
func (e *exchange) expired() bool {
	if e.expires == 0 {
		return false
	}
	left := e.expires - e.proxy.clock()
	if deadline, _ := e.ctx.Deadline(); left > 0 && time.Until(deadline)-left > boottime.MinSuspension {
		ctx, cancel := context.WithTimeout(e.ctx, left)
		whole := e.cancel
		e.ctx, e.cancel = ctx, func() { cancel(); whole() }
	}
	return left <= 0
}

// launch begins a try; it reports false if there is no replica to try, or no time.
func (e *exchange) launch() bool {
	if e.expired() {
		e.late = true
		return false
	}
	if e.mustStop() {
		e.withheld = true
		return false
	}
	replica, found := e.proxy.pick(&e.request, e.tried)
	if !found {
		return false
	}
	e.tried[replica.ID] = true
	e.names = append(e.names, replica.ID)
	e.sends++
	e.ran++
	e.active++
	go e.try(replica)
	return true
}

// try sends the request once.
func (e *exchange) try(replica sitestate.Replica) {
	began, sentAt := time.Now(), e.proxy.clock()
	sent := e.request.Request
	sent.Header = sent.Header.Clone()
	ended := e.send(replica, sent)
	ended.replica = replica.ID
	if ended.answer != nil {
		ended.answer.Began = sentAt
	}
	if ended.class == classAnswer || ended.class == classError {
		e.proxy.guard.Answered(replica.ID, began)
	}
	e.proxy.end(e.request.Service, replica.ID, e.judge(ended), time.Since(began))
	e.results <- ended
}

// judge says what the end of a try means for the replica.
func (e *exchange) judge(ended result) balance.Result {
	switch {
	case ended.class == classAnswer:
		return balance.ResultServed
	case ended.class == classRefused:
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
		return result{class: classBroken, reason: err}
	}
	e.proxy.noteLoad(replica.ID, response.Header)
	if e.proxy.client.RefusedAsNotRun(response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
		_ = response.Body.Close()
		return result{class: classRefused, reason: errors.New("refused with status " + http.StatusText(response.StatusCode))}
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Replica: replica, holding: e.holding}
	succeeded := response.StatusCode/100 == 2
	if succeeded && (response.Header.Get(e.proxy.headers.RequestID) == "" || response.Header.Get(e.proxy.headers.Signature) == "") {
		_ = response.Body.Close()
		return result{class: classBroken, reason: errors.New("a success without its id or seal")}
	}
	if e.request.Stream && succeeded {
		answer.Stream = response
		return result{class: classAnswer, answer: answer}
	}
	var rest io.Reader
	var whole bool
	answer.Body, rest, whole, err = held.Read(io.LimitReader(response.Body, maxBodyBytes), response.ContentLength, e.holding)
	if !whole {
		response.Body = unreadBody{Reader: rest, Closer: response.Body}
		answer.Stream = response
		return result{class: classAnswer, answer: answer}
	}
	_ = response.Body.Close()
	switch {
	case err != nil:
		return result{class: classBroken, reason: err}
	case response.StatusCode >= http.StatusInternalServerError:
		return result{class: classError, answer: answer}
	default:
		return result{class: classAnswer, answer: answer}
	}
}

// unreadBody is an answer that there is no room to hold: it is read as its reader takes it.
type unreadBody struct {
	io.Reader
	io.Closer
}

// maxRefusalBytes is what is read of a refusal's body to keep its connection.
const maxRefusalBytes = 16 << 10
