package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// RawAnswer is a response of a RawServer, sent byte for byte. Placeholder in it stands for the
// request's id.
type RawAnswer struct {
	// Parts are sent in order, with Pause after each.
	Parts []string
	Pause time.Duration
	// Early answers are sent before the body of the request is read.
	Early bool
	End   RawEnd
}

// RawEnd is what a RawServer does with the connection after a response.
type RawEnd uint8

const (
	// KeepOpen reads the rest of the request, then the next one.
	KeepOpen RawEnd = iota
	// CloseAfter reads the rest of the request, closes the connection in order and waits until the client
	// closes it too. What the client sends meanwhile is damaged.
	CloseAfter
	// CloseAtOnce closes the connection in order, while the request may still arrive.
	CloseAtOnce
	// ResetAtOnce resets the connection, while the request may still arrive.
	ResetAtOnce
)

// RawServer is a server that sends responses byte for byte.
type RawServer struct {
	listener net.Listener
	idHeader string
	answer   func(request int) RawAnswer

	mutex    sync.Mutex
	open     map[net.Conn]struct{}
	requests int
	// damaged counts the requests whose body was not whole, or that were no request.
	damaged int
}

// NewRawServer starts a server whose clients send their ids in idHeader. answer returns the response
// to a request, by its number, from 0.
func NewRawServer(t testing.TB, idHeader string, answer func(request int) RawAnswer) *RawServer {
	t.Helper()
	s := &RawServer{idHeader: idHeader, answer: answer, open: map[net.Conn]struct{}{}}
	t.Cleanup(s.closeConnections)
	s.listener = listen(t, func(connection net.Conn) {
		s.mutex.Lock()
		s.open[connection] = struct{}{}
		s.mutex.Unlock()
		go s.serve(connection)
	})
	return s
}

// Address returns the server's address.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that the server has received, at least in part.
func (s *RawServer) Requests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// Damaged returns the number of requests that ended early, and of bytes between requests that
// begin no request.
func (s *RawServer) Damaged() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.damaged
}

// AwaitClosed fails the test unless the clients close all connections within the limit.
func (s *RawServer) AwaitClosed(t testing.TB, limit time.Duration) {
	t.Helper()
	awaitClosed(t, limit, func() int {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.open)
	})
}

func (s *RawServer) closeConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.open {
		_ = connection.Close()
	}
}

func (s *RawServer) serve(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.open, connection)
	}()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF {
				s.addDamaged()
			}
			return
		}
		if !s.respond(connection, reader, request) {
			return
		}
	}
}

// respond answers a request and reports whether another one may follow on the connection.
func (s *RawServer) respond(connection net.Conn, reader io.Reader, request *http.Request) bool {
	s.mutex.Lock()
	answer := s.answer(s.requests)
	s.requests++
	s.mutex.Unlock()
	readBody := func() {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			s.addDamaged()
		}
	}
	if !answer.Early {
		readBody()
	}
	for _, part := range answer.Parts {
		part = strings.ReplaceAll(part, Placeholder, request.Header.Get(s.idHeader))
		if _, err := io.WriteString(connection, part); err != nil {
			return false
		}
		time.Sleep(answer.Pause)
	}
	switch answer.End {
	case KeepOpen:
		readBody()
		return true
	case CloseAfter:
		readBody()
		_ = connection.(*net.TCPConn).CloseWrite()
		if count, _ := io.Copy(io.Discard, reader); count > 0 {
			s.addDamaged()
		}
	case ResetAtOnce:
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	return false
}

func (s *RawServer) addDamaged() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.damaged++
}
