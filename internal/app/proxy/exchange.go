package proxy

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// maxTries limits the sends of one request, including those that replicas refused.
	maxTries = 12
	// allRefusedPause is the pause after every replica has refused.
	allRefusedPause = 30 * time.Millisecond
	// maxRefusedRounds limits these pauses; then the request fails.
	maxRefusedRounds = 3
	// verdictTimeout limits the wait for the tries of a request whose context ended.
	verdictTimeout = 50 * time.Millisecond
)

// exchange is the state of one request, owned by the goroutine that called Do.
type exchange struct {
	proxy     *Proxy
	request   Request
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// arrivedAt is when the request arrived, and expiresAt its caller's deadline, 0 for none;
	// both are readings of the proxy's clock.
	arrivedAt, expiresAt time.Duration

	// guard decides whether the request is sent; nil for an owed one.
	guard *guard.Guard

	results chan result
	// reservation accounts for the memory of the answers of all tries.
	reservation *membudget.Reservation
	tried       map[string]bool
	// limit is the service's send limit, nil if sends are not limited. With a limit, refused
	// holds the replicas that refused the request, and waited is how long it waited.
	limit   *serviceLimit
	refused map[string]bool
	waited  time.Duration
	// connectionWait is how long the request waited for connections.
	connectionWait time.Duration
	// waiter is set while the request waits for a connection to a replica.
	waiter *connectionWaiter
	// crowded is set if too many requests wait for connections.
	crowded bool
	// retryRefused is set if the retry budget did not allow a retry.
	retryRefused bool
	// triedIDs are the replicas tried, in order.
	triedIDs []string
	// ended are the results of the tries, without their answers.
	ended      []result
	sends      int // tries started
	mayHaveRun int // tries that ran, may have run, or may still run
	inFlight   int
	notSent    int // tries of which nothing was sent
	rounds     int
	lastErr    error
	// crashedReplicas are the replicas that closed the connection while running the request.
	crashedReplicas []string
	// admission is the guard's decision; withheld is set once the request must not be sent
	// again.
	admission guard.Admission
	withheld  bool
	// timedOut is set once the caller's deadline has passed.
	timedOut bool
	// stopping is set once Request.MaySend has forbidden a try.
	stopping bool
	// lastAnswer is the latest 5xx answer, returned if no other try succeeds.
	lastAnswer *Answer
}

func (e *exchange) do() (*Answer, *Failure) {
	e.admission = e.guard.Admit(e.ctx, e.request.identity())
	e.withheld = e.admission.Withheld
	if e.withheld {
		return e.finish()
	}
	if failure := e.awaitLimit(); failure != nil {
		return nil, failure
	}
	if !e.start(true) {
		return e.giveUp()
	}
	defer e.stopWaiting()
	hedge := time.NewTimer(e.proxy.hedgeAfter(e.request))
	defer hedge.Stop()
	var retryTimer <-chan time.Time
	for {
		select {
		case <-e.freeConnection():
			if !e.start(true) {
				return e.giveUp()
			}
			if e.waiter == nil && e.sends == 1 {
				hedge.Reset(e.proxy.hedgeAfter(e.request))
			}
		case res := <-e.results:
			e.inFlight--
			if answer, done := e.handleResult(res); done {
				return answer, nil
			}
			if e.inFlight > 0 {
				continue
			}
			wait, retry := e.nextTry(res)
			if !retry {
				return e.finish()
			}
			if wait == 0 {
				if !e.start(true) {
					return e.giveUp()
				}
				continue
			}
			retryTimer = time.After(wait)
		case <-retryTimer:
			retryTimer = nil
			if !e.start(true) {
				return e.giveUp()
			}
		case <-hedge.C:
			// A stream must not run on two replicas concurrently.
			if e.mayTryAgain() && e.inFlight == 1 && !e.request.Stream && e.chargeRetry() {
				e.start(false) // a second try is not worth a wait
			}
		case <-e.ctx.Done():
			if answer := e.awaitTries(); answer != nil {
				return answer, nil
			}
			return nil, e.contextFailure()
		}
	}
}

// awaitTries waits for the tries that the end of the context has ended, so that one of which
// nothing was sent does not count as one that may have run. It returns an answer that was
// complete by then.
func (e *exchange) awaitTries() *Answer {
	limit := time.NewTimer(verdictTimeout)
	defer limit.Stop()
	for e.inFlight > 0 {
		select {
		case res := <-e.results:
			e.inFlight--
			answer, done := e.handleResult(res)
			switch {
			case !done:
			case answer.Stream == nil:
				return answer
			default:
				_ = answer.Stream.Body.Close() // its context has ended
			}
		case <-limit.C:
			return nil
		}
	}
	return nil
}

// handleResult handles the result of a try. If done is true, answer is the one to return.
func (e *exchange) handleResult(res result) (answer *Answer, done bool) {
	e.ended = append(e.ended, result{class: res.class, replica: res.replica, status: res.status, took: res.took})
	switch res.class {
	case classAnswer:
		if res.answer.Stream == nil {
			e.recordServed()
		}
		return res.answer, true
	case classError:
		e.recordServed()
		e.lastAnswer = res.answer
	case classRefused, classNotSent:
		switch {
		case res.class == classNotSent:
			e.notSent++
		case !res.misdirected:
			e.recordRefused(res.replica)
		}
		e.mayHaveRun--
		e.lastErr = res.reason
	case classMayHaveRun:
		e.lastErr = res.reason
		if httpcall.IsConnectionClosed(res.reason) {
			e.recordCrash(res.replica)
		}
	}
	return nil, false
}

// nextTry decides, once no try is in flight, whether to retry and after what pause. A retry
// is charged to the retry budget.
func (e *exchange) nextTry(res result) (wait time.Duration, retry bool) {
	wait, retry = e.mayRetry(res)
	if retry && !e.chargeRetry() {
		e.retryRefused = true
		return 0, false
	}
	return wait, retry
}

// mayRetry decides like nextTry, without the retry budget.
func (e *exchange) mayRetry(res result) (wait time.Duration, retry bool) {
	if e.sends >= e.maxSends() {
		return 0, false
	}
	if res.class == classError || res.class == classMayHaveRun {
		return 0, e.mayTryAgain()
	}
	if e.mayHaveRun > 0 && !e.mayTryAgain() {
		return 0, false
	}
	if e.allTried() {
		if len(e.refused) > 0 {
			return 0, false
		}
		e.rounds++
		clear(e.tried)
		return allRefusedPause, e.rounds <= maxRefusedRounds
	}
	return 0, true
}

// recordRefused excludes a replica that refused the request from further tries, if sends are
// limited.
func (e *exchange) recordRefused(replica string) {
	if e.limit == nil {
		return
	}
	if e.refused == nil {
		e.refused = map[string]bool{}
	}
	e.refused[replica] = true
}

func (e *exchange) allTried() bool {
	for _, replica := range e.proxy.candidates(&e.request, time.Now()).replicas {
		if !e.tried[replica.ID] {
			return false
		}
	}
	return true
}

// mayTryAgain reports whether another replica may run the request as well.
func (e *exchange) mayTryAgain() bool {
	return e.request.Repeatable && e.mayHaveRun < max(1, e.request.MaxAttempts) && e.sends < e.maxSends() && e.ctx.Err() == nil
}

// finish returns the best result once no further try is possible.
func (e *exchange) finish() (*Answer, *Failure) {
	if e.lastAnswer != nil {
		return e.lastAnswer, nil
	}
	reason := "every replica refused"
	if e.lastErr != nil {
		reason = e.lastErr.Error()
	}
	switch {
	case e.timedOut:
		return nil, e.fail(port.CodeDeadline, "the machine was suspended for longer than the caller waits")
	case e.mayHaveRun > 0:
		return nil, e.fail(port.CodeBackEnd, reason)
	case e.withheld:
		return nil, e.fail(port.CodeWithheld, "replicas crashed while running this request")
	default:
		return nil, e.everyReplicaFull(reason)
	}
}

// contextFailure returns the failure of a request whose context ended.
func (e *exchange) contextFailure() *Failure {
	switch cause := context.Cause(e.ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return e.fail(port.CodeDeadline, "no answer in time")
	case errors.Is(cause, ErrStopping):
		return e.fail(port.CodeDraining, cause.Error())
	default:
		return e.fail(port.CodeCancelled, "the caller disconnected")
	}
}

// ErrStopping is the cause of a context that ends because the process stops.
var ErrStopping = errors.New("the process is stopping")

func (e *exchange) fail(code port.Code, reason string) *Failure {
	verdict := port.NotRun
	if e.mayHaveRun > 0 {
		verdict = port.MayHaveRun
	}
	return &Failure{Verdict: verdict, Code: code, Reason: reason, ArrivedAt: e.arrivedAt, RetryAfter: e.admission.RetryAfter, Crashed: len(e.crashedReplicas) > 0}
}

// noReplicaFailure returns the failure of a request for which there is no replica.
func (e *exchange) noReplicaFailure() *Failure {
	reason, retryAfter := e.proxy.noReplicaReason(&e.request)
	failure := e.fail(port.CodeNoBackEnd, reason)
	failure.RetryAfter = cmp.Or(failure.RetryAfter, retryAfter)
	return failure
}

// expired reports whether the caller's deadline has passed. The context's timer does not
// count suspended time: after a suspension, expired shortens the context to the time that
// remains, so that replicas receive the right deadline.
func (e *exchange) expired() bool {
	if e.expiresAt == 0 {
		return false
	}
	remaining := e.expiresAt - e.proxy.clock()
	if deadline, _ := e.ctx.Deadline(); remaining > 0 && time.Until(deadline)-remaining > boottime.MinSuspension {
		ctx, cancel := context.WithTimeout(e.ctx, remaining)
		cancelParent := e.cancel
		e.ctx, e.cancel = ctx, func() { cancel(); cancelParent() }
	}
	return remaining <= 0
}

// giveUp returns the result of a request for which start found nothing to do.
func (e *exchange) giveUp() (*Answer, *Failure) {
	if e.sends == 0 && e.stopping {
		return nil, e.fail(port.CodeDraining, ErrStopping.Error())
	}
	if e.sends == 0 && !e.timedOut && !e.crowded {
		return nil, e.noReplicaFailure()
	}
	return e.finish()
}

// freeConnection returns the channel that is closed when the request may find a connection; nil
// if it does not wait for one.
func (e *exchange) freeConnection() <-chan struct{} {
	if e.waiter == nil {
		return nil
	}
	return e.waiter.ready
}

// stopWaiting ends the wait for a connection.
func (e *exchange) stopWaiting() {
	if e.waiter != nil {
		e.proxy.leaveConnections(e.waiter)
		e.waiter = nil
	}
}

// start starts a try or, if it may, makes the request wait for a connection. It returns false if
// there is no replica to try, the caller's deadline has passed, or the request is withheld or must
// not be sent any more.
func (e *exchange) start(mayWait bool) bool {
	if e.expired() {
		e.timedOut = true
		return false
	}
	if e.mustWithhold() {
		e.withheld = true
		return false
	}
	if e.request.MaySend != nil && !e.request.MaySend() {
		e.stopping = true
		return false
	}
	before := e.waiter
	picked := e.proxy.pick(&e.request, e.tried, e.refused, before, mayWait)
	e.waiter = picked.waiter
	if picked.crowded {
		e.crowded = true
		e.limit.recordCrowded(e.request.limitAim())
	}
	if picked.replica == nil {
		return picked.waiter != nil
	}
	var waited time.Duration
	if before != nil {
		waited = time.Since(before.since)
		e.connectionWait += waited
	}
	replica := *picked.replica
	e.tried[replica.ID] = true
	e.triedIDs = append(e.triedIDs, replica.ID)
	e.sends++
	e.mayHaveRun++
	e.inFlight++
	if e.limit != nil {
		e.limit.beginTry()
	}
	go e.try(e.ctx, replica, waited)
	return true
}
