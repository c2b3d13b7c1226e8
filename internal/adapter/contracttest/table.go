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
	// Handler answers the call well. The server echoes the request's id.
	Handler http.Handler
	// Dial makes an adapter for an address and gives its call. The call's
	// answer must equal Want; number differs from call to call.
	Dial func(address string) (call func(ctx context.Context, number int) (answer string, err error))
	Want func(number int) string
	// AnswerBytes is the adapter's bound on an answer.
	AnswerBytes int
	// Streamed says that the answer is a stream of numbered events, Passes that
	// every status and content is an answer that is passed on.
	Streamed, Passes bool
	// Cancels says that the adapter sends DELETE for a call given up.
	Cancels bool
}

// row is one fault with what must come of it.
type row struct {
	name   string
	faults []fault
	// skip leaves the row out where the subject has no such thing.
	skip bool
	// verdict is that of the last call's error; passes means it is an answer.
	verdict port.Verdict
	passes  bool
	code    port.Code
	// requests is how many the server must have seen.
	requests int
	// The last call is given up once the server has the request: its deadline
	// passes, or it is cancelled.
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
	structured := func(r *row) { r.skip = subject.Passes }
	// A stream has an end marker of its own.
	unmarked := func(r *row) { r.skip = subject.Streamed }
	notRun := func(r *row) { r.verdict, r.code = port.NotRun, port.CodeQueueFull }
	answered := func(r *row) { r.passes = subject.Passes }
	return []row{
		with(failed("good", nil), func(r *row) { r.passes = true }),
		with(failed("late", silent), deadline),
		with(failed("late after the first half", silentAfterHead), deadline),
		with(failed("cancelled", silent), cancelled),
		failed("cut before the first byte", cutAt(0)),
		failed("cut after the first byte", cutAt(0.001)),
		failed("cut at a quarter", cutAt(0.25)),
		failed("cut at three quarters", cutAt(0.75)),
		failed("cut before the end", cutBeforeEnd),
		failed("reset", reset),
		failed("reset on a reused connection", nil, reset),
		failed("closed on a reused connection", nil, cutAt(0)),
		failed("duplicate of the answer before", nil, repeatPrevious),
		failed("other request's id", wrongID),
		with(failed("oversize", oversize(subject.AnswerBytes)), func(r *row) { r.code = port.CodeTooLarge }),
		failed("oversize header", largeHeader),
		with(failed("no explicit end", noExplicitEnd), unmarked),
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

// givenUpAfter is the first deadline of calls to stand-ins that never answer.
const givenUpAfter = 100 * time.Millisecond

// Run runs the table against a subject.
func Run(t *testing.T, subject Subject) {
	for _, row := range rows(subject) {
		t.Run(row.name, func(t *testing.T) {
			if row.skip {
				t.Skip("the interface has no such thing")
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
		<-server.seen
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if row.deadline {
		passed := make(chan struct{})
		ctx = &expiring{ctx, passed}
		cancel = func() { close(passed) }
	}
	if row.cancel || row.deadline {
		go func() {
			<-server.seen
			cancel()
		}()
	}
	answer, err := call(ctx, last)
	if row.passes {
		if err != nil {
			t.Fatalf("call: %v", err)
		}
		if row.faults[last] == nil && answer != subject.Want(last) {
			t.Fatalf("answer %q, want %q", answer, subject.Want(last))
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

// expiring is a context whose deadline passes when its channel is closed.
type expiring struct {
	context.Context
	passed chan struct{}
}

// Done is closed when the deadline passes.
func (e *expiring) Done() <-chan struct{} { return e.passed }

// Err tells of the deadline once it has passed.
func (e *expiring) Err() error {
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
		t.Fatalf("answer %q, want %q", answer, subject.Want(number))
	}
}

func expectError(t *testing.T, answer string, err error, verdict port.Verdict, code port.Code) {
	t.Helper()
	var known *port.Error
	if !errors.As(err, &known) {
		t.Fatalf("answer %q, error %v; want a *port.Error", answer, err)
	}
	if known.Verdict != verdict {
		t.Errorf("verdict %v, want %v: %v", known.Verdict, verdict, err)
	}
	if code != "" && known.Code != code {
		t.Errorf("code %v, want %v: %v", known.Code, code, err)
	}
	if code == port.CodeQueueFull && known.RetryAfter != 2*time.Second {
		t.Errorf("retry after %v, want 2s", known.RetryAfter)
	}
}

// waitForCancel waits for the DELETE, which follows the error.
func waitForCancel(t *testing.T, server *faultServer) {
	t.Helper()
	for range 500 {
		if _, cancelled := server.counts(); cancelled > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("engine was not told of the cancellation")
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

// answerAfterCancel lets the answer to a cancelled call come while the next
// call waits for its own.
func answerAfterCancel(t *testing.T, subject Subject) {
	server := newFaultServer(t, subject.Handler, []fault{afterRelease})
	call := subject.Dial(server.address())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-server.seen
		cancel()
	}()
	answer, err := call(ctx, 0)
	expectError(t, answer, err, port.MayHaveRun, port.CodeCancelled)
	close(server.release)
	expectAnswer(t, subject, call, 1)
}
