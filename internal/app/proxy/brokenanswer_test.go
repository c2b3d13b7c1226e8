package proxy

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const (
	// rawTimeout is the timeout of requests to a server that sends raw responses.
	rawTimeout = 20 * time.Second
	// rawFields are the fields of a replica's response.
	rawFields = "Id: {id}\r\nSeal: seal\r\n"
	// headLimit is the time to refuse an answer once its head has arrived.
	headLimit = 5 * time.Second
	// uploadBytes is the size of a body that takes long to send.
	uploadBytes = 8 << 20
	// rawTries is how often a row is played during an upload: its outcome depends on the order of events.
	rawTries = 3
)

// unbuffered is the form of answers for which the memory budget has no space.
const unbuffered = "unbuffered"

// rawForms are the ways in which an answer is read.
var rawForms = map[string]Request{"buffered": {}, unbuffered: {}, "streamed": {Stream: true}, "discarded": {DiscardBody: true}}

// newRawProxy returns a proxy for requests of a form to the server.
func newRawProxy(server *testkit.RawServer, form string) *Proxy {
	sender := newTestProxy(server.Address(), new(atomic.Int64))
	if form == unbuffered {
		sender.memoryBudget = membudget.NewBudget(1)
	}
	return sender
}

// received is what the caller of Do receives of an answer.
type received struct {
	status  int
	body    string
	err     error
	failure *Failure
}

// isWhole reports whether the answer looks complete to its caller.
func (r received) isWhole() bool { return r.failure == nil && r.err == nil }

// checkRefused fails the test unless an answer is refused, as to a request that may have run.
func checkRefused(t *testing.T, got received) {
	t.Helper()
	switch {
	case got.isWhole():
		t.Errorf("answered with status %d and %q", got.status, got.body)
	case got.failure != nil && got.failure.Verdict != port.MayHaveRun:
		t.Errorf("failed with %v", got.failure)
	}
}

// doRaw sends a request of a form and reads its answer.
func doRaw(t *testing.T, sender *Proxy, request Request, upload int) received {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), rawTimeout)
	defer cancel()
	request.Target, request.Host, request.Service, request.MaxAttempts = "/x", "h", "s", 3
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	if request.ID == "" {
		request.ID = "1"
	}
	request.Body = make([]byte, upload)
	answer, failure := sender.Do(ctx, request)
	if failure != nil {
		return received{failure: failure}
	}
	defer answer.Release()
	if answer.Stream == nil {
		return received{status: answer.Status, body: string(answer.Body)}
	}
	defer func() { _ = answer.Stream.Body.Close() }()
	body, err := io.ReadAll(answer.Stream.Body)
	return received{status: answer.Status, body: string(body), err: err}
}

// uploads returns the sizes of the bodies of the requests to which an answer is sent.
func uploads(answer testkit.RawAnswer) []int {
	if answer.Early {
		return []int{10, uploadBytes}
	}
	return []int{10}
}

// checkBroken fails the test unless the answers are refused in every form, as to a request that may
// have run, and their connections are closed.
func checkBroken(t *testing.T, answers map[string]testkit.RawAnswer) {
	t.Helper()
	for name, answer := range answers {
		for form, request := range rawForms {
			for _, upload := range uploads(answer) {
				t.Run(fmt.Sprintf("%s/%s/%d", name, form, upload), func(t *testing.T) {
					t.Parallel()
					for try := 0; try == 0 || answer.Early && try < rawTries; try++ {
						server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
						sender := newRawProxy(server, form)
						checkRefused(t, doRaw(t, sender, request, upload))
						if server.Requests() != 1 {
							t.Errorf("sent %d times", server.Requests())
						}
						server.AwaitClosed(t, endlessMargin)
						awaitFreeConnections(t, sender)
					}
				})
			}
		}
	}
}

// failures returns the answers with a status of success and with some of a failure.
func failures(answers func(status, fields string) map[string]testkit.RawAnswer) map[string]testkit.RawAnswer {
	rows := map[string]testkit.RawAnswer{}
	for _, status := range []string{"200 OK", "404 Not Found", "503 No"} {
		for name, answer := range answers(status, rawFields) {
			rows[status+", "+name] = answer
		}
	}
	return rows
}

// TestAnswerWithoutEndIsNotWhole guards against a part of an answer that looks complete because
// nothing but the end of the connection ends it.
func TestAnswerWithoutEndIsNotWhole(t *testing.T) {
	checkBroken(t, failures(testkit.AnswersWithoutEnd))
}

// TestAnswerWithoutEndIsRefusedByItsHead guards against a part of an answer that is passed on, and a caller
// that waits for the end of the connection, though the head shows that the answer can't be whole.
func TestAnswerWithoutEndIsRefusedByItsHead(t *testing.T) {
	for name, answer := range failures(testkit.OpenWithoutEnd) {
		for form, request := range rawForms {
			for _, upload := range uploads(answer) {
				t.Run(fmt.Sprintf("%s/%s/%d", name, form, upload), func(t *testing.T) {
					t.Parallel()
					server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
					sender := newRawProxy(server, form)
					startedAt := time.Now()
					got := doRaw(t, sender, request, upload)
					if got.failure == nil || got.failure.Verdict != port.MayHaveRun {
						t.Errorf("answered with status %d and %q, %v, failure %v", got.status, got.body, got.err, got.failure)
					}
					if took := time.Since(startedAt); took > headLimit {
						t.Errorf("refused after %v", took)
					}
					if server.Requests() != 1 {
						t.Errorf("sent %d times", server.Requests())
					}
					server.AwaitClosed(t, endlessMargin)
					awaitFreeConnections(t, sender)
				})
			}
		}
	}
}

// TestRefusalNeedsNoEnd guards against a refusal as not run that counts as a request that may have run
// because of its body, which nobody needs.
func TestRefusalNeedsNoEnd(t *testing.T) {
	for name, answer := range testkit.OpenWithoutEnd("503 No", rawFields+"Not-Run: 1\r\n") {
		for form, request := range rawForms {
			t.Run(name+"/"+form, func(t *testing.T) {
				t.Parallel()
				server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
				if got := doRaw(t, newRawProxy(server, form), request, 10); got.failure == nil || got.failure.Verdict != port.NotRun {
					t.Errorf("answered with status %d and %q, %v, failure %v", got.status, got.body, got.err, got.failure)
				}
				server.AwaitClosed(t, endlessMargin)
			})
		}
	}
}

// TestInvalidStatusIsNoAnswer guards against an answer whose status is none of a final response.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	checkBroken(t, testkit.InvalidStatuses(rawFields))
}

// TestInvalidFieldNameIsNoAnswer guards against a field whose name no recipient can read as the
// sender meant it: an answer with another body, or a promise that was not made.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	rows := failures(testkit.InvalidNames)
	for name, answer := range testkit.InvalidNames("503 No", rawFields+"Not-Run: 1\r\n") {
		rows["refusal, "+name] = answer
	}
	for name, answer := range testkit.InvalidNames("421 No", rawFields) {
		rows["another instance, "+name] = answer
	}
	checkBroken(t, rows)
}

// TestInvalidTrailerIsNotWhole guards against a chunked answer that ends with a malformed trailer.
func TestInvalidTrailerIsNotWhole(t *testing.T) {
	checkBroken(t, failures(testkit.InvalidTrailers))
}

// TestOtherProtocolIsNoAnswer guards against an answer of a protocol that is not spoken here.
func TestOtherProtocolIsNoAnswer(t *testing.T) {
	checkBroken(t, failures(testkit.InvalidVersions))
}

// TestSecondIDIsNoAnswer guards against an answer that names another request besides this one.
func TestSecondIDIsNoAnswer(t *testing.T) {
	const length = "Content-Length: 4\r\n\r\n" + testkit.RawBody
	rows := map[string]testkit.RawAnswer{}
	for _, status := range []string{"200 OK", "500 No", "503 No"} {
		line := "HTTP/1.1 " + status + "\r\n"
		rows[status+", another one after it"] = testkit.RawAnswer{Parts: []string{line + rawFields + "Id: 2\r\n" + length}}
		rows[status+", another one before it"] = testkit.RawAnswer{Parts: []string{line + "Id: 2\r\n" + rawFields + length}}
		rows[status+", empty one before another"] = testkit.RawAnswer{Parts: []string{line + "Id:\r\nId: 2\r\nSeal: seal\r\n" + length}}
		rows[status+", empty one after it"] = testkit.RawAnswer{Parts: []string{line + rawFields + "Id:\r\n" + length}}
		rows[status+", list"] = testkit.RawAnswer{Parts: []string{line + "Id: {id}, 2\r\nSeal: seal\r\n" + length}}
	}
	refusal := "HTTP/1.1 503 No\r\n" + rawFields + "Not-Run: 1\r\n"
	rows["refusal"] = testkit.RawAnswer{Parts: []string{refusal + "Id: 2\r\n" + length}}
	checkBroken(t, rows)
}

// TestCutAnswerIsNoAnswer guards against an answer that ends in its head, or before the end that
// its head announces.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	rows := failures(testkit.CutBodies)
	maps.Copy(rows, failures(testkit.CutHeads))
	checkBroken(t, rows)
}

// TestInvalidFieldValueIsNoAnswer guards against an answer with a value that is invalid, or framing that
// contradicts itself.
func TestInvalidFieldValueIsNoAnswer(t *testing.T) {
	checkBroken(t, failures(testkit.InvalidValues))
}

// brokenRows returns broken answers of all kinds.
func brokenRows() map[string]testkit.RawAnswer {
	rows := map[string]testkit.RawAnswer{}
	for _, group := range []map[string]testkit.RawAnswer{
		testkit.AnswersWithoutEnd("200 OK", rawFields), testkit.CutHeads("200 OK", rawFields), testkit.CutBodies("200 OK", rawFields),
		testkit.InvalidStatuses(rawFields), testkit.InvalidNames("200 OK", rawFields), testkit.InvalidTrailers("200 OK", rawFields),
		testkit.InvalidNames("503 No", rawFields+"Not-Run: 1\r\n"),
	} {
		for name, answer := range group {
			rows[fmt.Sprint(len(rows), " ", name)] = answer
		}
	}
	return rows
}

// TestBrokenAnswerOnReusedConnection guards against a broken answer that is whole, or a request that is sent
// again, on a connection that has carried a sound answer.
func TestBrokenAnswerOnReusedConnection(t *testing.T) {
	sound := testkit.LegalAnswers(rawFields)["length"].RawAnswer
	for name, broken := range brokenRows() {
		for form, request := range rawForms {
			// net/http repeats a GET on a connection that ends before the answer, unless it can't.
			request.Method = http.MethodGet
			t.Run(name+"/"+form, func(t *testing.T) {
				t.Parallel()
				server := testkit.NewRawServer(t, "Id", func(number int) testkit.RawAnswer {
					if number == 0 {
						return sound
					}
					return broken
				})
				sender := newRawProxy(server, form)
				if got := doRaw(t, sender, request, 10); !got.isWhole() {
					t.Fatalf("%v, failure %v", got.err, got.failure)
				}
				awaitFreeConnections(t, sender)
				numbered := request
				numbered.ID = "2"
				checkRefused(t, doRaw(t, sender, numbered, 10))
				if server.Requests() != 2 {
					t.Errorf("%d requests", server.Requests())
				}
				server.AwaitClosed(t, endlessMargin)
			})
		}
	}
}

// TestLegalAnswerIsWhole guards against checks of answers that refuse what the protocol allows, or
// lose connections that can be used again.
func TestLegalAnswerIsWhole(t *testing.T) {
	for name, answer := range testkit.LegalAnswers(rawFields) {
		for form, request := range rawForms {
			for _, upload := range uploads(answer.RawAnswer) {
				t.Run(fmt.Sprintf("%s/%s/%d", name, form, upload), func(t *testing.T) {
					t.Parallel()
					server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer.RawAnswer })
					sender := newRawProxy(server, form)
					for i := range 2 {
						numbered := request
						numbered.ID = fmt.Sprint(i)
						got := doRaw(t, sender, numbered, upload)
						if !got.isWhole() || got.status != answer.Status || got.body != answer.Body && !request.DiscardBody {
							t.Errorf("request %d: answered with status %d and %q, %v, failure %v", i, got.status, got.body, got.err, got.failure)
						}
						awaitFreeConnections(t, sender)
						if answer.End == testkit.CloseAfter {
							// A request that meets the close may have run.
							server.AwaitClosed(t, endlessMargin)
						}
					}
					if server.Damaged() != 0 && !answer.Early {
						t.Errorf("%d requests were damaged", server.Damaged())
					}
				})
			}
		}
	}
}

// TestHeadAnswerNeedsNoLength guards against an answer to a HEAD request that is refused because it
// has no length: no body follows it.
func TestHeadAnswerNeedsNoLength(t *testing.T) {
	for name, text := range map[string]string{
		"no length":  "HTTP/1.1 200 OK\r\n" + rawFields + "\r\n",
		"length":     "HTTP/1.1 200 OK\r\n" + rawFields + "Content-Length: 4\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\n" + rawFields + "Transfer-Encoding: chunked\r\n\r\n",
		"not found":  "HTTP/1.1 404 Not Found\r\n" + rawFields + "\r\n",
		"no content": "HTTP/1.1 204 No Content\r\n" + rawFields + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return testkit.RawAnswer{Parts: []string{text}} })
			sender := newTestProxy(server.Address(), new(atomic.Int64))
			for i := range 2 {
				if got := doRaw(t, sender, Request{Request: replicacall.Request{Method: http.MethodHead, ID: fmt.Sprint(i)}}, 0); !got.isWhole() {
					t.Errorf("%v, failure %v", got.err, got.failure)
				}
			}
		})
	}
}

// TestStreamWithoutEndIsTriedElsewhere guards against a stream that is passed on, to be cut at its end,
// though another replica could send a whole one.
func TestStreamWithoutEndIsTriedElsewhere(t *testing.T) {
	rows := testkit.OpenWithoutEnd("200 OK", rawFields)
	maps.Copy(rows, testkit.AnswersWithoutEnd("200 OK", rawFields))
	for name, broken := range rows {
		for _, form := range []string{"streamed", unbuffered} {
			t.Run(name+"/"+form, func(t *testing.T) {
				t.Parallel()
				server := testkit.NewRawServer(t, "Id", func(request int) testkit.RawAnswer {
					if request == 0 {
						return broken
					}
					return testkit.LegalAnswers(rawFields)["chunks"].RawAnswer
				})
				sender := newTestProxyOf(server.Address(), 2, new(atomic.Int64)) // both replicas have one address
				if form == unbuffered {
					sender.memoryBudget = membudget.NewBudget(1)
				}
				request := rawForms[form]
				request.Repeatable = true
				if got := doRaw(t, sender, request, 10); !got.isWhole() || got.status != http.StatusOK || got.body != testkit.RawBody {
					t.Errorf("answered with status %d and %q, %v, failure %v", got.status, got.body, got.err, got.failure)
				}
			})
		}
	}
}

// TestBrokenAnswerIsTriedElsewhere guards against a request that may run again and fails because one
// replica sends broken answers.
func TestBrokenAnswerIsTriedElsewhere(t *testing.T) {
	for name, broken := range brokenRows() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewRawServer(t, "Id", func(request int) testkit.RawAnswer {
				if request == 0 {
					return broken
				}
				return testkit.LegalAnswers(rawFields)["length"].RawAnswer
			})
			sender := newTestProxyOf(server.Address(), 2, new(atomic.Int64)) // both replicas have one address
			if got := doRaw(t, sender, Request{Repeatable: true}, 10); !got.isWhole() || got.status != http.StatusOK || got.body != testkit.RawBody {
				t.Errorf("answered with status %d and %q, %v, failure %v", got.status, got.body, got.err, got.failure)
			}
		})
	}
}
