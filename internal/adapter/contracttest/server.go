package contracttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/loomgrade/loomgrade/internal/port/api"
)

// answer is a response that a fault may alter before it is written.
type answer struct {
	status int
	header http.Header
	// pieces make up the body; a stream has one piece per event.
	pieces  [][]byte
	chunked bool
	// noLength omits both Content-Length and chunked encoding.
	noLength bool
	// badName adds a field whose name holds a blank.
	badName bool
}

// fault handles one request incorrectly; a nil fault sends the correct response.
type fault func(server *faultServer, connection net.Conn, correct answer) (keepOpen bool)

// faultServer serves raw HTTP/1.1 connections. The n-th request gets the n-th fault;
// further requests get correct responses.
type faultServer struct {
	listener net.Listener
	handler  http.Handler
	faults   []fault
	// cancelled counts DELETE requests, to which no faults apply.
	mutex       sync.Mutex
	requests    int
	cancelled   int
	previous    *answer
	connections map[net.Conn]bool
	// requestRead receives a value for each request read, except DELETE.
	requestRead chan struct{}
	// release, once closed, unblocks answerAfterRelease.
	release chan struct{}
	done    sync.WaitGroup
}

const requestReadBuffer = 64

func newFaultServer(t *testing.T, handler http.Handler, faults []fault) *faultServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	server := &faultServer{
		listener:    listener,
		handler:     handler,
		faults:      faults,
		connections: map[net.Conn]bool{},
		requestRead: make(chan struct{}, requestReadBuffer),
		release:     make(chan struct{}),
	}
	server.done.Go(server.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		server.closeConnections()
		server.done.Wait()
	})
	return server
}

func (s *faultServer) address() string { return s.listener.Addr().String() }

func (s *faultServer) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[connection] = true
		s.mutex.Unlock()
		s.done.Go(func() { s.serve(connection) })
	}
}

// closeConnections closes the remaining connections at the end of the test: idle ones and
// those whose fault waits for the client.
func (s *faultServer) closeConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.connections {
		_ = connection.Close()
	}
}

// serve handles requests until the client or a fault closes the connection.
func (s *faultServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if !s.respond(connection, request) {
			return
		}
	}
}

func (s *faultServer) respond(connection net.Conn, request *http.Request) (keepOpen bool) {
	if request.Method == http.MethodDelete {
		s.mutex.Lock()
		s.cancelled++
		s.mutex.Unlock()
		return answer{status: http.StatusNoContent, header: http.Header{}}.write(connection)
	}
	correct := s.correctAnswer(request)
	s.mutex.Lock()
	number := s.requests
	s.requests++
	s.mutex.Unlock()
	s.requestRead <- struct{}{}
	if number < len(s.faults) && s.faults[number] != nil {
		return s.faults[number](s, connection, correct)
	}
	s.mutex.Lock()
	s.previous = &correct
	s.mutex.Unlock()
	return correct.write(connection)
}

// counts returns the numbers of requests and cancellations.
func (s *faultServer) counts() (requests, cancelled int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests, s.cancelled
}

// correctAnswer returns the response of the subject's handler.
func (s *faultServer) correctAnswer(request *http.Request) answer {
	recorder := httptest.NewRecorder()
	recorder.Header().Set(api.HeaderRequestID, request.Header.Get(api.HeaderRequestID))
	s.handler.ServeHTTP(recorder, request)
	result := answer{status: recorder.Code, header: recorder.Header().Clone()}
	body := recorder.Body.Bytes()
	if result.header.Get("Content-Type") != "text/event-stream" {
		result.pieces = [][]byte{body}
		return result
	}
	result.chunked = true
	result.pieces = bytes.SplitAfter(body, []byte("\n\n"))
	if last := len(result.pieces) - 1; len(result.pieces[last]) == 0 {
		result.pieces = result.pieces[:last]
	}
	return result
}

// clone returns a copy that can be altered.
func (a answer) clone() answer {
	a.header = a.header.Clone()
	pieces := make([][]byte, len(a.pieces))
	for index, piece := range a.pieces {
		pieces[index] = bytes.Clone(piece)
	}
	a.pieces = pieces
	return a
}

// bytes returns the encoded response.
func (a answer) bytes() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %03d %s\r\n", a.status, http.StatusText(a.status))
	header := a.header.Clone()
	switch {
	case a.noLength:
	case a.chunked:
		header.Set("Transfer-Encoding", "chunked")
	default:
		header.Set("Content-Length", strconv.Itoa(len(bytes.Join(a.pieces, nil))))
	}
	_ = header.Write(&out)
	if a.badName {
		out.WriteString("Bad Name: x\r\n") // header.Write omits such fields
	}
	out.WriteString("\r\n")
	for _, piece := range a.pieces {
		if a.chunked {
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			out.Write(piece)
		}
	}
	if a.chunked {
		out.WriteString("0\r\n\r\n")
	}
	return out.Bytes()
}

func (a answer) write(connection net.Conn) (keepOpen bool) {
	_, err := connection.Write(a.bytes())
	return err == nil
}
