package contracttest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Subject is one call of one adapter.
type Subject struct {
	// Handler handles the call correctly. The server echoes the request's id.
	Handler http.Handler
	// Dial returns the call of an adapter for an address. The call's result must equal
	// Want; number differs between calls.
	Dial func(address string) (call func(ctx context.Context, number int) (answer string, err error))
	Want func(number int) string
	// AnswerBytes is the adapter's limit on a response.
	AnswerBytes int
	// Streamed means that the response is a stream of numbered events, PassThrough that
	// the adapter returns responses of every status and content.
	Streamed, PassThrough bool
	// Cancels means that the adapter sends DELETE for a cancelled call.
	Cancels bool
}

// row is a fault with its expected result.
type row struct {
	name   string
	faults []fault
	// skip omits the row if it doesn't apply to the subject.
	skip bool
	// verdict is that of the last call's error, unless succeeds is set.
	verdict  port.Verdict
	succeeds bool
	code     port.Code
	// requests is the number of requests that the server must have received.
	requests int
	// The last call's deadline passes, or the call is cancelled, once the server has
	// read the request.
	deadline, cancel bool
}

func rows(subject Subject) []row {
	failed := func(name string, faults ...fault) row {
		return row{name: name, faults: faults, verdict: port.MayHaveRun, requests: len(faults)}
	}
	with := func(r row, change func(*row)) row {
		change(&r)
		return r
	}
	deadline := func(r *row) { r.deadline, r.code = true, port.CodeDeadline }
	cancelled := func(r *row) { r.cancel, r.code = true, port.CodeCancelled }
	streamed := func(r *row) { r.skip = !subject.Streamed }
	structured := func(r *row) { r.skip = subject.PassThrough }
	// A stream has its own end marker.
	unmarked := func(r *row) { r.skip = subject.Streamed }
	notRun := func(r *row) { r.verdict, r.code = port.NotRun, port.CodeQueueFull }
	answered := func(r *row) { r.succeeds = subject.PassThrough }
	return []row{
		with(failed("no fault", nil), func(r *row) { r.succeeds = true }),
		with(failed("no response before the deadline", neverAnswer), deadline),
		with(failed("deadline after half of the response", stallAfterHalf), deadline),
		with(failed("cancelled", neverAnswer), cancelled),
		failed("cut before the first byte", truncateAt(0)),
		failed("cut after the first byte", truncateAt(0.001)),
		failed("cut at a quarter", truncateAt(0.25)),
		failed("cut at three quarters", truncateAt(0.75)),
		failed("cut before the end", truncateBeforeEnd),
		failed("reset", resetConnection),
		failed("reset on a reused connection", nil, resetConnection),
		failed("closed on a reused connection", nil, truncateAt(0)),
		failed("repeat of the previous answer", nil, repeatPrevious),
		failed("other request's id", wrongID),
		with(failed("oversize", oversize(subject.AnswerBytes)), func(r *row) { r.code = port.CodeTooLarge }),
		failed("oversize header", largeHeader),
		with(failed("no explicit end", noExplicitEnd), unmarked),
		failed("blank in the name of a field", badName),
		failed("status 000", badStatus),
		failed("503 not run in a malformed head", refuseMalformed),
		with(failed("wrong content", wrongContent), structured),
		with(failed("malformed", malformed), structured),
		with(failed("chunks out of order", swappedChunks), streamed),
		with(failed("chunk repeated", repeatedChunk), streamed),
		with(failed("chunk missing", missingChunk), streamed),
		with(failed("503 not run", refuse(http.StatusServiceUnavailable, port.NotRun)), notRun),
		with(failed("429 not run", refuse(http.StatusTooManyRequests, port.NotRun)), notRun),
		with(failed("503 without a verdict", refuse(http.StatusServiceUnavailable, port.VerdictUnset)), answered),
		with(failed("500 that claims not run", refuse(http.StatusInternalServerError, port.NotRun)), answered),
	}
}

// firstDeadline is the first deadline of calls to stand-ins that never respond.
const firstDeadline = 100 * time.Millisecond

// Run runs the fault table against a subject.
func Run(t *testing.T, subject Subject) {
	for _, row := range rows(subject) {
		t.Run(row.name, func(t *testing.T) {
			if row.skip {
				t.Skip("not applicable to this interface")
			}
			runRow(t, subject, row)
		})
	}
	t.Run("refused connection", func(t *testing.T) { refusedConnection(t, subject) })
	t.Run("cancelled before it is sent", func(t *testing.T) { cancelledBefore(t, subject) })
	t.Run("answer after cancel", func(t *testing.T) { answerAfterCancel(t, subject) })
}

func runRow(t *testing.T, subject Subject, row row) {
	server := newFaultServer(t, subject.Handler, row.faults)
	call := subject.Dial(server.address())
	last := len(row.faults) - 1
	for number := range last {
		expectAnswer(t, subject, call, number)
		<-server.requestRead
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if row.deadline {
		passed := make(chan struct{})
		ctx = &deadlineContext{ctx, passed}
		cancel = func() { close(passed) }
	}
	if row.cancel || row.deadline {
		go func() {
			<-server.requestRead
			cancel()
		}()
	}
	answer, err := call(ctx, last)
	if row.succeeds {
		if err != nil {
			t.Fatalf("call: %v", err)
		}
		if row.faults[last] == nil && answer != subject.Want(last) {
			t.Fatalf("response %q, want %q", answer, subject.Want(last))
		}
		return
	}
	expectError(t, answer, err, row.verdict, row.code)
	if requests, _ := server.counts(); requests != row.requests {
		t.Errorf("server saw %d requests, want %d", requests, row.requests)
	}
	if row.cancel && subject.Cancels {
		waitForCancel(t, server)
	}
}

// deadlineContext is a context whose deadline passes when its channel is closed.
type deadlineContext struct {
	context.Context
	passed chan struct{}
}

// Done is closed when the deadline passes.
func (e *deadlineContext) Done() <-chan struct{} { return e.passed }

// Err returns context.DeadlineExceeded once the deadline has passed.
func (e *deadlineContext) Err() error {
	select {
	case <-e.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

func expectAnswer(t *testing.T, subject Subject, call func(context.Context, int) (string, error), number int) {
	t.Helper()
	answer, err := call(t.Context(), number)
	if err != nil {
		t.Fatalf("call %d: %v", number, err)
	}
	if answer != subject.Want(number) {
		t.Fatalf("response %q, want %q", answer, subject.Want(number))
	}
}

func expectError(t *testing.T, answer string, err error, verdict port.Verdict, code port.Code) {
	t.Helper()
	var failure *port.Error
	if !errors.As(err, &failure) {
		t.Fatalf("response %q, error %v; want a *port.Error", answer, err)
	}
	if failure.Verdict != verdict {
		t.Errorf("verdict %v, want %v: %v", failure.Verdict, verdict, err)
	}
	if code != "" && failure.Code != code {
		t.Errorf("code %v, want %v: %v", failure.Code, code, err)
	}
	if code == port.CodeQueueFull && failure.RetryAfter != 2*time.Second {
		t.Errorf("retry after %v, want 2s", failure.RetryAfter)
	}
}

// waitForCancel waits for the DELETE that follows the error.
func waitForCancel(t *testing.T, server *faultServer) {
	t.Helper()
	for range 500 {
		if _, cancelled := server.counts(); cancelled > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the engine did not receive the cancellation")
}

func refusedConnection(t *testing.T, subject Subject) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	answer, err := subject.Dial(address)(t.Context(), 0)
	expectError(t, answer, err, port.NotRun, port.CodeBackEnd)
}

func cancelledBefore(t *testing.T, subject Subject) {
	server := newFaultServer(t, subject.Handler, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	answer, err := subject.Dial(server.address())(ctx, 0)
	expectError(t, answer, err, port.NotRun, port.CodeCancelled)
	if requests, _ := server.counts(); requests != 0 {
		t.Errorf("server saw %d requests, want none", requests)
	}
}

// answerAfterCancel checks that the response to a cancelled call is not returned to the
// next call.
func answerAfterCancel(t *testing.T, subject Subject) {
	server := newFaultServer(t, subject.Handler, []fault{answerAfterRelease})
	call := subject.Dial(server.address())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-server.requestRead
		cancel()
	}()
	answer, err := call(ctx, 0)
	expectError(t, answer, err, port.MayHaveRun, port.CodeCancelled)
	close(server.release)
	expectAnswer(t, subject, call, 1)
}
