package contracttest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Endpoint is a call with a JSON body at a server of the product or a stand-in.
type Endpoint struct {
	// Address is the server's address; Method and Path identify the call.
	Address, Method, Path string
	// Header is sent with every request.
	Header http.Header
	// Body is a body that the server answers with 200.
	Body string
	// BodyLimit is the server's limit on a body.
	BodyLimit int
	// Ran returns how often the call has taken effect; nil for a call without effects.
	Ran func() int
}

func (e Endpoint) ran() int {
	if e.Ran == nil {
		return 0
	}
	return e.Ran()
}

// serverRow is a faulty request with the expected response.
type serverRow struct {
	name string
	body func(Endpoint) string
	// truncate closes the connection after half of the body.
	truncate bool
	status   int
	code     port.Code
}

var serverRows = []serverRow{
	{name: "no content", body: func(Endpoint) string { return "" }, status: http.StatusBadRequest, code: port.CodeInvalid},
	{name: "not JSON", body: func(Endpoint) string { return "<html>" }, status: http.StatusBadRequest, code: port.CodeInvalid},
	{name: "wrong type", body: func(Endpoint) string { return "[1]" }, status: http.StatusBadRequest, code: port.CodeInvalid},
	{name: "half of the JSON", body: func(e Endpoint) string { return e.Body[:len(e.Body)/2] }, status: http.StatusBadRequest, code: port.CodeInvalid},
	{name: "oversize", body: oversizeBody, status: http.StatusRequestEntityTooLarge, code: port.CodeTooLarge},
	{name: "cut off", body: func(e Endpoint) string { return e.Body }, truncate: true},
}

// oversizeBody returns a valid body after more white space than the limit allows.
func oversizeBody(e Endpoint) string { return strings.Repeat(" ", e.BodyLimit) + e.Body }

// RunServer sends faulty requests to an endpoint. Each must be rejected as not run and
// take no effect; a valid request must then succeed.
func RunServer(t *testing.T, endpoint Endpoint) {
	for _, row := range serverRows {
		t.Run(row.name, func(t *testing.T) {
			before := endpoint.ran()
			if row.truncate {
				endpoint.sendHalf(t, row.body(endpoint))
			} else {
				expectRejected(t, endpoint.send(t, row.body(endpoint)), row.status, row.code)
			}
			if ran := endpoint.ran() - before; ran != 0 {
				t.Errorf("the faulty request took effect %d times", ran)
			}
		})
	}
	t.Run("valid request", func(t *testing.T) {
		before := endpoint.ran()
		if got := endpoint.send(t, endpoint.Body); got.status != http.StatusOK {
			t.Fatalf("status %d: %s", got.status, got.body)
		}
		if ran := endpoint.ran() - before; endpoint.Ran != nil && ran != 1 {
			t.Errorf("the valid request took effect %d times", ran)
		}
	})
}

// reply is a response as the table compares it.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (e Endpoint) request(body io.Reader) (*http.Request, error) {
	request, err := http.NewRequest(e.Method, "http://"+e.Address+e.Path, body)
	if err != nil {
		return nil, err
	}
	request.Header = e.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (e Endpoint) send(t *testing.T, body string) reply {
	t.Helper()
	request, err := e.request(strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{response.StatusCode, response.Header, content}
}

// sendHalf announces a complete body, sends half of it and closes the write side; it
// returns once the server has closed the connection.
func (e Endpoint) sendHalf(t *testing.T, body string) {
	t.Helper()
	connection, err := net.Dial("tcp", e.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	request, err := e.request(nil)
	if err != nil {
		t.Fatal(err)
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", e.Method, e.Path, e.Address, len(body))
	_ = request.Header.Write(&head)
	if _, err := io.WriteString(connection, head.String()+"\r\n"+body[:len(body)/2]); err != nil {
		t.Fatal(err)
	}
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return // closing without a response is also correct
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusBadRequest {
		t.Errorf("half a body was answered with status %d", response.StatusCode)
	}
}

func expectRejected(t *testing.T, got reply, status int, code port.Code) {
	t.Helper()
	var body api.ErrorBody
	if err := json.Unmarshal(got.body, &body); err != nil {
		t.Fatalf("status %d, body %q: %v", got.status, got.body, err)
	}
	if got.status != status || body.Error.Code != string(code) {
		t.Errorf("status %d, code %s; want %d, %s", got.status, body.Error.Code, status, code)
	}
	notRun := port.NotRun.String()
	if body.Error.Verdict != notRun || got.header.Get(api.HeaderVerdict) != notRun {
		t.Errorf("verdict %q, in the header %q; want %q", body.Error.Verdict, got.header.Get(api.HeaderVerdict), notRun)
	}
}
