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

// rawServer passes each accepted connection to answer and returns its address.
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

// readRequest reads one request from a connection and returns its id.
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

// answerTo returns a complete response of a replica.
func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", sitestandin.Headers.RequestID, id, sitestandin.Headers.Signature, sitestandin.SignatureOf(id), len(body), body)
}

// reset closes a connection with a TCP reset.
func reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// TestMisbehavingReplicas sends requests to a replica that misbehaves on its connection. Requests of route
// "plain" are retried at a healthy replica; those of route "once" must run at most once and
// get no incorrect response.
func TestMisbehavingReplicas(t *testing.T) {
	for name, row := range map[string]struct {
		// serve responds to one request and reports whether the connection stays open.
		serve func(connection net.Conn, id string, count int64) bool
		// once is the expected status of a request that may run only once.
		once int
		// retriable is set if the misbehaving replica didn't run the request.
		retriable bool
	}{
		"closes without an answer": {
			serve: func(connection net.Conn, _ string, _ int64) bool { _ = connection.Close(); return false },
			once:  http.StatusBadGateway,
		},
		"resets without an answer": {
			serve: func(connection net.Conn, _ string, _ int64) bool { reset(connection); return false },
			once:  http.StatusBadGateway,
		},
		"truncated response": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				_, _ = connection.Write([]byte(answerTo(id, "whole answer")[:len(answerTo(id, "whole answer"))-4]))
				_ = connection.Close()
				return false
			},
			once: http.StatusBadGateway,
		},
		"response without a length, then a reset": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\nhalf", sitestandin.Headers.RequestID, id, sitestandin.Headers.Signature, sitestandin.SignatureOf(id))
				time.Sleep(20 * time.Millisecond)
				reset(connection)
				return false
			},
			once: http.StatusBadGateway,
		},
		"malformed response": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				_, _ = connection.Write([]byte("garbage\r\n\r\n"))
				_ = connection.Close()
				return false
			},
			once: http.StatusBadGateway,
		},
		"success without a signature": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", sitestandin.Headers.RequestID, id)
				return true
			},
			once: http.StatusBadGateway,
		},
		"response to another request": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				_, _ = connection.Write([]byte(answerTo("somebody-else", "of somebody else")))
				return true
			},
			once: http.StatusBadGateway,
		},
		"rejects as not run": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", sitestandin.Headers.NotRun)
				return true
			},
			once: http.StatusOK, retriable: true,
		},
		"wrong instance": {
			serve: func(connection net.Conn, _ string, _ int64) bool {
				_, _ = connection.Write([]byte("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"))
				return true
			},
			once: http.StatusOK, retriable: true,
		},
		"internal server error": {
			serve: func(connection net.Conn, id string, _ int64) bool {
				fmt.Fprintf(connection, "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nfail", sitestandin.Headers.RequestID, id, sitestandin.Headers.Signature, sitestandin.SignatureOf(id))
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
			bad.ExternalAddress = rawServer(t, func(connection net.Conn) {
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
			healthy := sitestandin.NewReplica(t, "i-sound", plain)
			s.add(healthy)
			if row.retriable {
				if status != http.StatusServiceUnavailable {
					t.Errorf("without a healthy replica: status %d", status)
				}
				status, body, _ = s.call("/once/x", "once-2")
			}
			if status != row.once {
				t.Errorf("once: status %d %q, want %d", status, body, row.once)
			}
			if !row.retriable && runs.Load() != 1 {
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

func TestSurplusResponseIsDropped(t *testing.T) {
	s := newSite(t, 1, 0)
	s.start()
	s.configure()
	bad := sitestandin.NewReplica(t, "i-bad", plain)
	bad.ExternalAddress = rawServer(t, func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			// The surplus response arrives in place of the next one.
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

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	s, plainReplica, _ := startServingSite(t)
	canceled := make(chan struct{})
	started := make(chan struct{})
	plainReplica.Handle = func(_ http.ResponseWriter, r *http.Request) bool {
		close(started)
		<-r.Context().Done()
		close(canceled)
		return true
	}
	connection, err := net.Dial("tcp", s.fronts[0].http.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: %s\r\n%s: leaving\r\n%s: 60000\r\nContent-Length: 1\r\n\r\nx", host, sitestandin.Headers.RequestID, sitestandin.Headers.Deadline)
	<-started
	_ = connection.Close()
	select {
	case <-canceled:
	case <-time.After(waitTimeout):
		t.Error("the request still runs after the caller has disconnected")
	}
}

func TestUnresponsiveReplicaTimesOut(t *testing.T) {
	s, plainReplica, _ := startServingSite(t)
	plainReplica.Handle = func(_ http.ResponseWriter, r *http.Request) bool { <-r.Context().Done(); return true }
	if status, _, _ := s.call("/once/x", "silent"); status != http.StatusGatewayTimeout {
		t.Errorf("status %d", status)
	}
	healthy := sitestandin.NewReplica(t, "i-sound", plain)
	s.add(healthy)
	if status, body, _ := s.call("/plain/x", "hedged"); status != http.StatusOK || body != "answer of i-sound to hedged" {
		t.Errorf("%d %q", status, body)
	}
}
