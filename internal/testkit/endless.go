package testkit

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// EndlessLimit is the number of bytes that a server may manage to send to a client that
	// reads a bounded number of them. The kernel buffers most of it.
	EndlessLimit = 16 << 20
	// endlessBlockBytes is the size of a write of an EndlessServer.
	endlessBlockBytes = 16 << 10
	// endlessSendBuffer is the size of its send buffers.
	endlessSendBuffer = 16 << 10
	// dripPause is the time between two bytes of a dripped answer.
	dripPause = 100 * time.Millisecond
)

// EndlessAnswer is a response to one request. Placeholder in it stands for the request's id.
type EndlessAnswer struct {
	// Start is sent once.
	Start string
	// Repeat is sent again and again until the client closes the connection; empty for a
	// complete response.
	Repeat string
	// Drip sends Repeat byte by byte, with a pause before each byte.
	Drip bool
}

// Placeholder stands for the id of the request in an EndlessAnswer.
const Placeholder = "{id}"

// EndlessServer is a server whose responses do not end.
type EndlessServer struct {
	listener net.Listener
	idHeader string
	answer   func(request int) EndlessAnswer

	mutex    sync.Mutex
	requests int
	open     int
	// sent is the number of bytes of the longest repetition.
	sent int64
}

// NewEndlessServer starts a server whose clients send their ids in idHeader. answer returns the
// response to a request, by its number, from 0.
func NewEndlessServer(t testing.TB, idHeader string, answer func(request int) EndlessAnswer) *EndlessServer {
	t.Helper()
	s := &EndlessServer{idHeader: idHeader, answer: answer}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	s.listener = listen(t, func(connection net.Conn) {
		s.add(1)
		go func() {
			defer s.add(-1)
			s.serve(connection, stop)
		}()
	})
	return s
}

// Address returns the server's address.
func (s *EndlessServer) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that the server has read.
func (s *EndlessServer) Requests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// Sent returns the number of bytes of the longest repetition.
func (s *EndlessServer) Sent() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sent
}

// AwaitClosed fails the test unless the clients close all connections within the limit.
func (s *EndlessServer) AwaitClosed(t testing.TB, limit time.Duration) {
	t.Helper()
	awaitClosed(t, limit, func() int {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.open
	})
}

// CheckClosed fails the test unless the clients close all connections within the limit, and read
// no more than EndlessLimit of a repetition.
func (s *EndlessServer) CheckClosed(t testing.TB, limit time.Duration) {
	t.Helper()
	s.AwaitClosed(t, limit)
	if sent := s.Sent(); sent > EndlessLimit {
		t.Errorf("the server sent %d bytes", sent)
	}
}

func (s *EndlessServer) add(connections int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open += connections
}

func (s *EndlessServer) serve(connection net.Conn, stop <-chan struct{}) {
	defer func() { _ = connection.Close() }()
	_ = connection.(*net.TCPConn).SetWriteBuffer(endlessSendBuffer)
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mutex.Lock()
		answer := s.answer(s.requests)
		s.requests++
		s.mutex.Unlock()
		id := request.Header.Get(s.idHeader)
		if _, err := io.WriteString(connection, strings.ReplaceAll(answer.Start, Placeholder, id)); err != nil {
			return
		}
		if answer.Repeat != "" {
			s.repeat(connection, []byte(strings.ReplaceAll(answer.Repeat, Placeholder, id)), answer.Drip, stop)
			return
		}
	}
}

// repeat sends the content until the client closes the connection or the test ends.
func (s *EndlessServer) repeat(connection net.Conn, content []byte, drip bool, stop <-chan struct{}) {
	block := bytes.Repeat(content, 1+endlessBlockBytes/len(content))
	for sent := int64(0); ; {
		part := block
		if drip {
			part = content[sent%int64(len(content)):][:1]
			select {
			case <-time.After(dripPause):
			case <-stop:
				return
			}
		}
		count, err := connection.Write(part)
		sent += int64(count)
		s.mutex.Lock()
		s.sent = max(s.sent, sent)
		s.mutex.Unlock()
		if err != nil {
			return
		}
	}
}

// EndlessHeads returns the start of responses whose head does not end, by name.
func EndlessHeads() map[string]EndlessAnswer {
	return map[string]EndlessAnswer{
		"bytes that are no answer":    {Repeat: "\x00\xfe"},
		"status line":                 {Start: "HTTP/1.1 200 ", Repeat: "a"},
		"header line":                 {Start: "HTTP/1.1 200 OK\r\nX-Long: ", Repeat: "a"},
		"header lines":                {Start: "HTTP/1.1 200 OK\r\n", Repeat: "X-Many: a\r\n"},
		"continued header line":       {Start: "HTTP/1.1 200 OK\r\nX-Long: a\r\n", Repeat: " a\r\n"},
		"interim responses":           {Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim responses with hint": {Repeat: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	}
}

// EndlessBodies returns responses whose body does not end, by name. head is the head without
// the fields that give the body's length and without the empty line.
func EndlessBodies(head string) map[string]EndlessAnswer {
	chunk := "400\r\n" + strings.Repeat("b", 0x400) + "\r\n"
	return map[string]EndlessAnswer{
		"body until the close":      {Start: head + "\r\n", Repeat: "b"},
		"body of a huge length":     {Start: head + "Content-Length: 9000000000000000000\r\n\r\n", Repeat: "b"},
		"chunks":                    {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: chunk},
		"chunk length":              {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "0"},
		"chunk extension":           {Start: head + "Transfer-Encoding: chunked\r\n\r\n1;", Repeat: "e"},
		"extensions of many chunks": {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1;" + strings.Repeat("e", 1000) + "\r\nb\r\n"},
		"trailer line":              {Start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", Repeat: "t"},
		"trailer lines":             {Start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "X-Many: t\r\n"},
	}
}

// Dripped returns the answers, and each of them once more byte by byte.
func Dripped(answers map[string]EndlessAnswer) map[string]EndlessAnswer {
	all := make(map[string]EndlessAnswer, 2*len(answers))
	for name, answer := range answers {
		all[name] = answer
		answer.Drip = true
		all[name+", byte by byte"] = answer
	}
	return all
}
