package appclient_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/appclient"
	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const answerBytes = 4 << 10

func echo(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	fmt.Fprintf(writer, "%s %s %s", request.Method, request.RequestURI, body)
}

func newClient(t *testing.T, address string) *appclient.Client {
	client := httpcall.New(httpcall.Limits{})
	t.Cleanup(client.Close)
	return appclient.New(client, address, answerBytes)
}

// TestCallKeepsContract covers requests that net/http would retry by itself (GET without a
// body, or a key in the header) and requests that it would not.
func TestCallKeepsContract(t *testing.T) {
	templates := map[string]port.ApplicationRequest{
		"GET":              {Method: http.MethodGet},
		"GET with key":     {Method: http.MethodGet, Key: "k"},
		"POST":             {Method: http.MethodPost, Body: []byte("body")},
		"POST with key":    {Method: http.MethodPost, Body: []byte("body"), Key: "k"},
		"empty POST + key": {Method: http.MethodPost, Key: "k"},
		"empty PUT":        {Method: http.MethodPut},
		"POST other key": {
			Method: http.MethodPost, Header: []port.HeaderField{{Name: "X-Idempotency-Key", Value: "k"}},
		},
	}
	for name, template := range templates {
		t.Run(name, func(t *testing.T) {
			contracttest.Run(t, contracttest.Subject{
				Handler: http.HandlerFunc(echo),
				Dial: func(address string) func(context.Context, int) (string, error) {
					client := newClient(t, address)
					return func(ctx context.Context, number int) (string, error) {
						request := template
						request.ID = port.RequestID(fmt.Sprintf("r-n-%d", number))
						request.Path = fmt.Sprintf("/a%%2Fb/%d?q=%d", number, number)
						response, err := client.Call(ctx, request)
						return string(response.Body), err
					}
				},
				Want: func(number int) string {
					return fmt.Sprintf("%s /a%%2Fb/%d?q=%d %s", template.Method, number, number, template.Body)
				},
				AnswerBytes: answerBytes,
				PassThrough: true,
			})
		})
	}
}

func TestConnectionHeadersAreNotForwarded(t *testing.T) {
	server, requests := startRecordingServer(t, func(writer http.ResponseWriter) {
		header := writer.Header()
		header.Set("Connection", "X-Hop")
		header.Set("X-Hop", "1")
		header.Set("Keep-Alive", "timeout=5")
		header.Set("X-End", "kept")
		header.Set(api.HeaderVerdict, "not-run")
	})
	response, err := newClient(t, server).Call(t.Context(), port.ApplicationRequest{
		ID: "r-n-1", Method: http.MethodPost, Path: "/x", Priority: 3,
		Header: []port.HeaderField{
			{Name: "Connection", Value: "X-Secret, close"}, {Name: "X-Secret", Value: "1"},
			{Name: "Te", Value: "trailers"}, {Name: "Expect", Value: "100-continue"},
			{Name: "Content-Length", Value: "99"}, {Name: "X-Deadline-Ms", Value: "1"}, {Name: "X-End", Value: "kept"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	sent := (<-requests).Header
	for _, name := range []string{"X-Secret", "Te", "Expect", "Connection"} {
		if sent.Get(name) != "" {
			t.Errorf("request field %s was forwarded: %q", name, sent.Get(name))
		}
	}
	for name, want := range map[string]string{"X-End": "kept", api.HeaderPriority: "3", api.HeaderSafe: "false", api.HeaderRequestID: "r-n-1"} {
		if got := sent.Get(name); got != want {
			t.Errorf("request field %s = %q, want %q", name, got, want)
		}
	}
	if sent.Get(api.HeaderDeadline) == "1" || sent.Get(api.HeaderDeadline) == "" {
		t.Errorf("deadline %q, want the client's remaining time", sent.Get(api.HeaderDeadline))
	}
	got := map[string]string{}
	for _, field := range response.Header {
		got[field.Name] = field.Value
	}
	for _, name := range []string{"Connection", "X-Hop", "Keep-Alive", api.HeaderVerdict} {
		if value, present := got[name]; present {
			t.Errorf("response field %s was forwarded: %q", name, value)
		}
	}
	if got["X-End"] != "kept" {
		t.Errorf("response field X-End = %q, want kept", got["X-End"])
	}
}

func TestRejectsInvalidPaths(t *testing.T) {
	for _, path := range []string{"", "x", "http://other/x", "*"} {
		_, err := newClient(t, "127.0.0.1:1").Call(t.Context(), port.ApplicationRequest{Method: http.MethodGet, Path: path})
		if failure := port.AsError(err); failure == nil || failure.Code != port.CodeInvalid || failure.Verdict != port.NotRun {
			t.Errorf("path %q: %v, want invalid and not run", path, err)
		}
	}
}
