package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// application forwards a request to an application back end.
func (s *Server) application(writer http.ResponseWriter, request *http.Request) {
	id := s.backend.NewRequestID()
	writer.Header().Set(api.HeaderRequestID, string(id))
	s.markConfirmation(writer)
	call, refusal := s.applicationRequest(writer, request, id)
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	response, failure := s.callApplication(request.Context(), call)
	if failure != nil {
		s.fail(writer, failure)
		return
	}
	writeApplication(writer, response)
}

func (s *Server) callApplication(ctx context.Context, call port.ApplicationRequest) (port.ApplicationResponse, *port.Error) {
	release, refusal := acquire(s.calls)
	if refusal != nil {
		return port.ApplicationResponse{}, refusal
	}
	defer release()
	recordEnd := s.measure(call.Pool)
	ctx, cancel := requestOptions{deadline: call.Deadline}.withDeadline(ctx)
	defer cancel()
	response, failure := await(ctx, s, func(ctx context.Context) (port.ApplicationResponse, error) {
		return s.backend.Application(ctx, call)
	})
	recordEnd(failure)
	return response, failure
}

// applicationRequest validates a request and reads its body.
func (s *Server) applicationRequest(writer http.ResponseWriter, request *http.Request, id port.RequestID) (port.ApplicationRequest, *port.Error) {
	none := port.ApplicationRequest{}
	if refusal := s.refuseWhileDraining(); refusal != nil {
		return none, refusal
	}
	from, refusal := s.authorize(request)
	if refusal != nil {
		return none, refusal
	}
	pool, path, refusal := splitApplicationPath(request)
	if refusal != nil {
		return none, refusal
	}
	if request.Method == http.MethodConnect || request.Method == http.MethodTrace {
		return none, port.InvalidField("method", request.Method, "a method other than CONNECT and TRACE")
	}
	options, refusal := readOptions(request, time.Now())
	if refusal != nil {
		return none, refusal
	}
	body, refusal := s.readBody(writer, request, s.limits.BodyBytes)
	if refusal != nil {
		return none, refusal
	}
	return port.ApplicationRequest{
		ID:       id,
		Pool:     pool,
		Tenant:   from.tenant,
		Method:   request.Method,
		Path:     path,
		Header:   headerFields(request.Header, from.authenticated),
		Body:     body,
		Priority: options.priority,
		Safe:     options.safe,
		Key:      options.key,
		Deadline: options.deadline,
	}, nil
}

// splitApplicationPath returns the pool and the path for the back end, with the
// original escapes and query.
func splitApplicationPath(request *http.Request) (port.PoolName, string, *port.Error) {
	rest := strings.TrimPrefix(request.URL.EscapedPath(), api.PathApplication)
	pool, path, _ := strings.Cut(rest, "/")
	if refusal := checkName("pool", pool); refusal != nil {
		return "", "", refusal
	}
	path = "/" + path
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return port.PoolName(pool), path, nil
}

// headerFields lists the header for the back end, without the token of a tenant or
// the operator.
func headerFields(header http.Header, knownCaller bool) []port.HeaderField {
	fields := make([]port.HeaderField, 0, len(header))
	for name, values := range header {
		if name == "Authorization" && knownCaller {
			continue
		}
		for _, value := range values {
			fields = append(fields, port.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// writeApplication writes a back end's complete response.
func writeApplication(writer http.ResponseWriter, response port.ApplicationResponse) {
	header := writer.Header()
	header["Content-Type"] = nil // disables content sniffing
	for _, field := range response.Header {
		header.Add(field.Name, field.Value)
	}
	if bodyAllowed(response.Status) {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	writer.WriteHeader(response.Status)
	_, _ = writer.Write(response.Body)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
