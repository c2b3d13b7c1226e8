package site_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// rawServer answers every connection's requests with bytes of the test's own.
func rawServer(t *testing.T, answer func(connection net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(connection)
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request off a connection and gives its id.
func readRequest(reader *bufio.Reader) (id string, err error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	body := make([]byte, max(0, request.ContentLength))
	for read := 0; read < len(body); {
		count, err := request.Body.Read(body[read:])
		read += count
		if err != nil && read < len(body) {
			return "", err
		}
	}
	return request.Header.Get(sitestandin.Headers.RequestID), nil
}

// answerTo is a whole answer of a replica.
func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", sitestandin.Headers.RequestID, id, sitestandin.Headers.Signature, sitestandin.SealOf(id), len(body), body)
}

// reset makes closing a connection send a reset.
func reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// TestTraps sends requests to a replica that misbehaves on its connection. Calls
// of route "plain" may be repeated and find a sound replica afterwards; those of
// route "once" must reach a replica once and get no false answer.
func TestTraps(t *testing.T) {
	for name, row := range map[string]struct {
		// serve answers one request; it reports whether the connection goes on.
		serve func(connection net.Conn, id string, count int64) bool
		// once is the status of a call that may run once only.
		once int
		// mayRunAgain is set if the misbehaving replica did not run the call.
		mayRunAgain bool
	}{
		"closes without an answer": {
			serve: func(connection net.Conn, _ string, _ int64) bool { _ = connection.Close(); return false },
			once:  http.StatusBadGateway,
		},
		"resets without an answer": {
			serve: func(connection net.Conn, _ string, _ int64) bool { reset(connection); return false },
			once:  http.StatusBadGateway,
		},
		"an answer cut short": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				_, _ = connection.Write([]byte(answerTo(id, "whole answer")[:len(answerTo(id, "whole answer"))-4]))
				_ = connection.Close()
				return false
			},
			once: http.StatusBadGateway,
		},
		"an answer without a length that is reset": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\nhalf", sitestandin.Headers.RequestID, id, sitestandin.Headers.Signature, sitestandin.SealOf(id))
				time.Sleep(20 * time.Millisecond)
				reset(connection)
				return false
			},
			once: http.StatusBadGateway,
		},
		"bytes that are no answer": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				_, _ = connection.Write([]byte("garbage\r\n\r\n"))
				_ = connection.Close()
				return false
			},
			once: http.StatusBadGateway,
		},
		"a success without a seal": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", sitestandin.Headers.RequestID, id)
				return true
			},
			once: http.StatusBadGateway,
		},
		"an answer to another request": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				_, _ = connection.Write([]byte(answerTo("somebody-else", "of somebody else")))
				return true
			},
			once: http.StatusBadGateway,
		},
		"refuses as not run": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", sitestandin.Headers.NotRun)
				return true
			},
			once: http.StatusOK, mayRunAgain: true,
		},
		"is another instance": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				_, _ = connection.Write([]byte("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"))
				return true
			},
			once: http.StatusOK, mayRunAgain: true,
		},
		"a failure of its own": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nfail", sitestandin.Headers.RequestID, id, sitestandin.Headers.Signature, sitestandin.SealOf(id))
				return true
			},
			once: http.StatusInternalServerError,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 0)
			s.seeds = s.seeds[:1]
			s.start()
			s.configure()
			var runs atomic.Int64
			bad := sitestandin.NewReplica(t, "i-bad", plain)
			bad.Raw = rawServer(t, func(connection net.Conn) {
				reader := bufio.NewReader(connection)
				for {
					id, err := readRequest(reader)
					if err != nil {
						_ = connection.Close()
						return
					}
					if !row.serve(connection, id, runs.Add(1)) {
						return
					}
				}
			})
			s.add(bad)
			status, body, _ := s.call("/once/x", "once-1")
			sound := sitestandin.NewReplica(t, "i-sound", plain)
			s.add(sound)
			if row.mayRunAgain {
				if status != http.StatusServiceUnavailable {
					t.Errorf("alone: status %d", status)
				}
				status, body, _ = s.call("/once/x", "once-2")
			}
			if status != row.once {
				t.Errorf("once: status %d %q, want %d", status, body, row.once)
			}
			if !row.mayRunAgain && runs.Load() != 1 {
				t.Errorf("once: ran %d times", runs.Load())
			}
			for i := range 6 {
				id := fmt.Sprint("plain-", i)
				if status, body, _ := s.call("/plain/x", id); status != http.StatusOK || body != "answer of i-sound to "+id {
					t.Errorf("plain: %d %q", status, body)
				}
			}
		})
	}
}

func TestASurplusAnswerReachesNobody(t *testing.T) {
	s := newSite(t, 1, 0)
	s.start()
	s.configure()
	bad := sitestandin.NewReplica(t, "i-bad", plain)
	bad.Raw = rawServer(t, func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			// The surplus comes late, in the place of the next answer.
			_, _ = connection.Write([]byte(answerTo(id, "right answer to "+id)))
			if _, err := reader.Peek(1); err != nil {
				return
			}
			_, _ = connection.Write([]byte(answerTo(id, "surplus answer to "+id)))
		}
	})
	s.add(bad)
	for i := range 20 {
		id := fmt.Sprint("call-", i)
		if status, body, _ := s.call("/plain/x", id); status != http.StatusOK || body != "right answer to "+id {
			t.Errorf("%s: %d %q", id, status, body)
		}
	}
}

func TestAReplicaIsToldWhenTheCallerLeaves(t *testing.T) {
	s, plainReplica, _ := serving(t)
	left := make(chan struct{})
	begun := make(chan struct{})
	plainReplica.Behave = func(_ http.ResponseWriter, r *http.Request) bool {
		close(begun)
		<-r.Context().Done()
		close(left)
		return true
	}
	connection, err := net.Dial("tcp", s.fronts[0].http.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: %s\r\n%s: leaving\r\n%s: 60000\r\nContent-Length: 1\r\n\r\nx", host, sitestandin.Headers.RequestID, sitestandin.Headers.Deadline)
	<-begun
	_ = connection.Close()
	select {
	case <-left:
	case <-time.After(patience):
		t.Error("the replica works on although the caller left")
	}
}

func TestASilentReplicaEndsAtTheTimeoutOfItsRoute(t *testing.T) {
	s, plainReplica, _ := serving(t)
	plainReplica.Behave = func(_ http.ResponseWriter, r *http.Request) bool { <-r.Context().Done(); return true }
	if status, _, _ := s.call("/once/x", "silent"); status != http.StatusGatewayTimeout {
		t.Errorf("status %d", status)
	}
	sound := sitestandin.NewReplica(t, "i-sound", plain)
	s.add(sound)
	if status, body, _ := s.call("/plain/x", "hedged"); status != http.StatusOK || body != "answer of i-sound to hedged" {
		t.Errorf("%d %q", status, body)
	}
}
