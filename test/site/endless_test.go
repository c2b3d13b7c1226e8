package site_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/testkit"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// successHead is the head of a replica's success, without its length.
var successHead = "HTTP/1.1 200 OK\r\n" + sitestandin.Headers.RequestID + ": {id}\r\n" + sitestandin.Headers.Signature + ": seal-" + testkit.Placeholder + "\r\n"

// hugeLength ends a head whose body is too long to ever end.
const hugeLength = "Content-Length: 9000000000000000000\r\n\r\n"

// addEndless adds a replica that gives one answer to every request.
func (s *site) addEndless(id, service string, models []string, answer func(request int) testkit.EndlessAnswer) *testkit.EndlessServer {
	server := testkit.NewEndlessServer(s.t, sitestandin.Headers.RequestID, answer)
	s.addAt(server.Address(), id, service, models)
	return server
}

// addAt adds a replica whose requests go to another server.
func (s *site) addAt(address, id, service string, models []string) {
	replica := sitestandin.NewEngine(s.t, id, service, models...)
	replica.ExternalAddress = address
	s.add(replica)
}

// TestItemsLeaveReplicaWithoutEnd guards against items that are held, or whose text is damaged, by
// a replica that sends bytes without end.
func TestItemsLeaveReplicaWithoutEnd(t *testing.T) {
	for name, answer := range map[string]testkit.EndlessAnswer{
		"header line":              {Start: "HTTP/1.1 200 OK\r\nX-Long: ", Repeat: "a"},
		"interim responses, drips": {Repeat: "HTTP/1.1 100 Continue\r\n\r\n", Drip: true},
		"junk":                     {Start: successHead + "\r\n", Repeat: "junk\n\n"},
		"junk, drips":              {Start: successHead + "\r\n", Repeat: "junk\n\n", Drip: true},
		"an event without end":     {Start: successHead + "\r\n", Repeat: "data: a\n"},
		"one event again":          {Start: successHead + "\r\n", Repeat: "id: 1\ndata: {id}-1\n\n"},
		"comments":                 {Start: successHead + "\r\n", Repeat: ": alive\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, engine := startServingSite(t)
			server := s.addEndless("i-endless", lm, engine.Models, func(int) testkit.EndlessAnswer { return answer })
			var items []string
			for i := range 2 * sitestandin.Slots {
				items = append(items, fmt.Sprint("item-", i))
			}
			s.submit("job-1", job(1, items...))
			for _, result := range s.readAll("job-1").Results {
				if result.State != "completed" || result.Text != sitestandin.CompleteText(result.ID, engine.Events) {
					t.Errorf("%s: %s, %d bytes of text", result.ID, result.State, len(result.Text))
				}
			}
			if server.Requests() == 0 {
				t.Error("no item was at the replica")
			}
			if sent := server.Sent(); sent > testkit.EndlessLimit && !strings.HasPrefix(answer.Repeat, ":") {
				t.Errorf("the replica sent %d bytes", sent)
			}
		})
	}
}

// TestScoreOfAnswerWithoutEnd guards against a reward that is taken from the head of an answer
// whose body does not end, and against a store machine that keeps such a body.
func TestScoreOfAnswerWithoutEnd(t *testing.T) {
	s := newSite(t, 1, 1)
	s.toleratedLosses = 0
	s.start()
	s.configure()
	s.add(sitestandin.NewEngine(t, "i-lm", lm, model))
	server := s.addEndless("i-plain", plain, nil, func(request int) testkit.EndlessAnswer {
		unfinished := strings.ReplaceAll(successHead, "seal-", "unfinished-")
		switch request {
		case 0:
			return testkit.EndlessAnswer{Start: unfinished + hugeLength, Repeat: "b"}
		case 1:
			return testkit.EndlessAnswer{Start: unfinished + "\r\n", Repeat: "b"}
		default:
			return testkit.EndlessAnswer{Start: successHead + "Content-Length: 1\r\n\r\n."}
		}
	})
	s.submit("job-1", job(1, "item-1"))
	for _, result := range s.readAll("job-1").Results {
		if result.State != "completed" || result.Score != "seal-score-item-1" {
			t.Errorf("%+v", result)
		}
	}
	if server.Requests() < 3 {
		t.Errorf("%d reward calls", server.Requests())
	}
}

// TestCallersAreServedBesideReplicaWithoutEnd guards against a front that no longer answers in
// time, or gives a request the bytes of another, while a replica sends bytes without end.
func TestCallersAreServedBesideReplicaWithoutEnd(t *testing.T) {
	const timeout, margin = 3 * time.Second, time.Second // of a call
	refusal := "HTTP/1.1 503 No\r\n" + sitestandin.Headers.NotRun + ": 1\r\n\r\n"
	for name, row := range map[string]struct {
		answer testkit.EndlessAnswer
		status int
	}{
		"header line":              {testkit.EndlessAnswer{Start: "HTTP/1.1 200 OK\r\nX-Long: ", Repeat: "a"}, http.StatusBadGateway},
		"interim responses, drips": {testkit.EndlessAnswer{Repeat: "HTTP/1.1 100 Continue\r\n\r\n", Drip: true}, http.StatusGatewayTimeout},
		"refusal":                  {testkit.EndlessAnswer{Start: refusal, Repeat: "b"}, http.StatusServiceUnavailable},
		"refusal, drips":           {testkit.EndlessAnswer{Start: refusal, Repeat: "b", Drip: true}, http.StatusServiceUnavailable},
		"body, drips":              {testkit.EndlessAnswer{Start: successHead + hugeLength, Repeat: "b", Drip: true}, http.StatusGatewayTimeout},
		"body until the close":     {testkit.EndlessAnswer{Start: successHead + "\r\n", Repeat: "b", Drip: true}, http.StatusBadGateway},
		"surplus":                  {testkit.EndlessAnswer{Start: successHead + "Content-Length: 1\r\n\r\n.", Repeat: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 0)
			s.start()
			s.configure()
			s.addEndless("i-endless", plain, nil, func(int) testkit.EndlessAnswer { return row.answer })
			started := time.Now()
			status, body, _ := s.call("/once/x", "once")
			if took := time.Since(started); status != row.status || took > timeout+margin {
				t.Errorf("status %d after %v, %d bytes", status, took, len(body))
			}
			healthy := sitestandin.NewReplica(t, "i-sound", plain)
			s.add(healthy)
			for i := range 6 {
				id := fmt.Sprint("plain-", i)
				status, body, _ := s.call("/plain/x", id)
				surplus := row.status == http.StatusOK && body == "."
				if status != http.StatusOK || (body != sitestandin.ResponseBody(healthy.ID, id) && !surplus) {
					t.Errorf("%s: status %d, %d bytes", id, status, len(body))
				}
			}
		})
	}
}

// TestManyAnswersWithoutEndFitTheMachine guards against answers without end that each stay within their limits and
// together take more memory than the machine of a front has.
func TestManyAnswersWithoutEndFitTheMachine(t *testing.T) {
	const replicas, callers, machineBytes = 4, 32, 284 << 20
	for name, answer := range map[string]testkit.EndlessAnswer{
		"chunks":  {Start: successHead + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "400\r\n" + strings.Repeat("b", 0x400) + "\r\n"},
		"length":  {Start: successHead + hugeLength, Repeat: "b"},
		"closed":  {Start: successHead + "\r\n", Repeat: "b"},
		"fields":  {Start: "HTTP/1.1 200 OK\r\n", Repeat: "X-Many: a\r\n"},
		"trailer": {Start: successHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "X-Many: t\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 0)
			s.budget = membudget.NewBudget(clientMemoryBytes)
			s.start()
			s.configure()
			for i := range replicas {
				s.addEndless(fmt.Sprint("i-endless-", i), plain, nil, func(int) testkit.EndlessAnswer { return answer })
			}
			var calls sync.WaitGroup
			for i := range callers {
				calls.Go(func() {
					if status, _ := discard(t, s.fronts[0].http.URL+"/once/x", fmt.Sprint("endless-", i)); status/100 == 2 {
						t.Error("an answer without end is complete")
					}
				})
			}
			ended := make(chan struct{})
			go func() { calls.Wait(); close(ended) }()
			for most := uint64(0); ; {
				select {
				case <-ended:
					t.Logf("%d MiB at most", most>>20)
					return
				case <-time.After(20 * time.Millisecond):
				}
				var memory runtime.MemStats
				runtime.ReadMemStats(&memory)
				if most = max(most, memory.HeapAlloc); memory.HeapAlloc > machineBytes {
					t.Fatalf("%d MiB are in use", memory.HeapAlloc>>20)
				}
			}
		})
	}
}

// discard sends a request and reads its response without keeping it.
func discard(t *testing.T, url, id string) (status int, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Error(err)
		return 0, err
	}
	request.Host = host
	request.Header.Set(sitestandin.Headers.RequestID, id)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// sendWithoutEnd sends a start and then a text again and again, until the server closes the
// connection or limit bytes are sent. It returns their number.
func sendWithoutEnd(t *testing.T, address, start, repeat string, limit int) (sent int) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := connection.Write([]byte(start)); err != nil {
		t.Fatal(err)
	}
	block := []byte(strings.Repeat(repeat, 1+16<<10/len(repeat)))
	for sent < limit {
		count, err := connection.Write(block)
		sent += count
		if err != nil {
			return sent
		}
	}
	return sent
}

// TestCallerWithoutEndIsCutOff guards against a front or control process that reads a head or a
// body without a limit while a caller sends it without end.
func TestCallerWithoutEndIsCutOff(t *testing.T) {
	s, _, _ := startServingSite(t)
	chunk := "400\r\n" + strings.Repeat("b", 0x400) + "\r\n"
	fields := "Host: " + host + "\r\n" + sitestandin.Headers.RequestID + ": 1\r\n"
	for name, row := range map[string]struct{ start, repeat string }{
		"request line":    {"POST /plain/", "a"},
		"header line":     {"POST /plain/x HTTP/1.1\r\nX-Long: ", "a"},
		"header lines":    {"POST /plain/x HTTP/1.1\r\n", "X-Many: a\r\n"},
		"body":            {"POST /plain/x HTTP/1.1\r\n" + fields + "Content-Length: 9000000000000000000\r\n\r\n", "b"},
		"chunks":          {"POST /plain/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"chunk extension": {"POST /plain/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n1;", "e"},
		"job":             {"POST /jobs/submit HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"configuration":   {"PUT /loomgrade/config HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"heartbeat":       {"PUT /loomgrade/replicas/i-plain HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", chunk},
	} {
		for process, address := range map[string]string{
			"front": s.fronts[0].http.Listener.Addr().String(), "control": s.controls[0].http.Listener.Addr().String(),
		} {
			if sent := sendWithoutEnd(t, address, row.start, row.repeat, 4*testkit.EndlessLimit); sent > 2*testkit.EndlessLimit {
				t.Errorf("%s, %s: the caller sent %d bytes", process, name, sent)
			}
		}
	}
}
