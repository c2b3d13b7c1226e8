package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	// maxDeadline limits the deadline that a caller may request.
	maxDeadline = 24 * time.Hour
	maxPriority = 1000
	// maxKeyBytes limits request keys, change ids and names.
	maxKeyBytes = 128
)

// requestOptions are the options in a request's headers.
type requestOptions struct {
	// deadline is zero if the request has none.
	deadline time.Time
	priority port.Priority
	safe     bool
	key      string
}

// readOptions parses the headers that loomgrade defines.
func readOptions(request *http.Request, now time.Time) (requestOptions, *port.Error) {
	options := requestOptions{safe: safeByMethod(request.Method), key: request.Header.Get(api.HeaderRequestKey)}
	if len(options.key) > maxKeyBytes {
		return requestOptions{}, port.InvalidField(api.HeaderRequestKey, options.key[:maxKeyBytes], "at most 128 bytes")
	}
	if text := request.Header.Get(api.HeaderSafe); text != "" {
		safe, err := strconv.ParseBool(text)
		if err != nil {
			return requestOptions{}, port.InvalidField(api.HeaderSafe, text, "true or false")
		}
		options.safe = safe
	}
	if text := request.Header.Get(api.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < -maxPriority || priority > maxPriority {
			return requestOptions{}, port.InvalidField(api.HeaderPriority, text, "a whole number from -1000 to 1000")
		}
		options.priority = port.Priority(priority)
	}
	if text := request.Header.Get(api.HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 1 || millis > maxDeadline.Milliseconds() {
			return requestOptions{}, port.InvalidField(api.HeaderDeadline, text, "milliseconds from 1 to 86400000")
		}
		options.deadline = now.Add(time.Duration(millis) * time.Millisecond)
	}
	return options, nil
}

// safeByMethod reports whether HTTP defines a method as idempotent.
func safeByMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// withDeadline applies the requested deadline, if any, to ctx.
func (t requestOptions) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, t.deadline)
}

// decode reads a JSON body and rejects unknown fields.
func (s *Server) decode(writer http.ResponseWriter, request *http.Request, into any) *port.Error {
	body, failure := s.readBody(writer, request, s.limits.CommandBytes)
	if failure != nil {
		return failure
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return malformedBody(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return malformedBody(errors.New("trailing data after the JSON value"))
	}
	return nil
}

func malformedBody(err error) *port.Error {
	return port.NewError(port.NotRun, port.CodeInvalid, "malformed body: %v", err)
}

// checkName rejects an empty or overlong name.
func checkName(field, value string) *port.Error {
	if value == "" || len(value) > maxKeyBytes {
		return port.InvalidField(field, value[:min(len(value), maxKeyBytes)], "1 to 128 bytes")
	}
	return nil
}

// configuredPool reports whether a pool is in the configuration. Metrics have labels
// of configured pools only.
func (s *Server) configuredPool(name port.PoolName) bool {
	for index := range s.backend.View().Configuration.Pools {
		if s.backend.View().Configuration.Pools[index].Name == name {
			return true
		}
	}
	return false
}

// measure records the start of a request; the returned function records its end.
func (s *Server) measure(pool port.PoolName) func(*port.Error) {
	if s.config.Recorder == nil || !s.configuredPool(pool) {
		return func(*port.Error) {}
	}
	started := time.Now()
	done := s.config.Recorder.RequestStarted(pool)
	return func(failure *port.Error) {
		done()
		s.config.Recorder.RequestDone(pool, failure, time.Since(started))
	}
}

// markConfirmation marks a response sent without a confirmed configuration.
func (s *Server) markConfirmation(writer http.ResponseWriter) {
	if s.backend.Unconfirmed() {
		writer.Header().Set(api.HeaderUnconfirmed, "true")
	}
}
