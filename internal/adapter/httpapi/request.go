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
	// maxDeadline bounds the deadline that a caller may ask for.
	maxDeadline = 24 * time.Hour
	maxPriority = 1000
	// maxKeyBytes bounds request keys, change ids and names.
	maxKeyBytes = 128
)

// terms are what a caller's headers ask for.
type terms struct {
	// deadline is zero if none was asked for.
	deadline time.Time
	priority port.Priority
	safe     bool
	key      string
}

// readTerms reads the headers that loomgrade defines.
func readTerms(request *http.Request, now time.Time) (terms, *port.Error) {
	asked := terms{safe: safeByMethod(request.Method), key: request.Header.Get(api.HeaderRequestKey)}
	if len(asked.key) > maxKeyBytes {
		return terms{}, port.InvalidField(api.HeaderRequestKey, asked.key[:maxKeyBytes], "at most 128 bytes")
	}
	if text := request.Header.Get(api.HeaderSafe); text != "" {
		safe, err := strconv.ParseBool(text)
		if err != nil {
			return terms{}, port.InvalidField(api.HeaderSafe, text, "true or false")
		}
		asked.safe = safe
	}
	if text := request.Header.Get(api.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < -maxPriority || priority > maxPriority {
			return terms{}, port.InvalidField(api.HeaderPriority, text, "a whole number from -1000 to 1000")
		}
		asked.priority = port.Priority(priority)
	}
	if text := request.Header.Get(api.HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 1 || millis > maxDeadline.Milliseconds() {
			return terms{}, port.InvalidField(api.HeaderDeadline, text, "milliseconds from 1 to 86400000")
		}
		asked.deadline = now.Add(time.Duration(millis) * time.Millisecond)
	}
	return asked, nil
}

// safeByMethod says whether HTTP defines a method as repeatable.
func safeByMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// limit ends ctx at the deadline asked for, if any.
func (t terms) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, t.deadline)
}

// decode reads a JSON body; unknown fields are refused.
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
		return malformedBody(errors.New("something follows the JSON value"))
	}
	return nil
}

func malformedBody(err error) *port.Error {
	return port.NewError(port.NotRun, port.CodeInvalid, "malformed body: %v", err)
}

// checkName refuses an empty or overlong text.
func checkName(field, value string) *port.Error {
	if value == "" || len(value) > maxKeyBytes {
		return port.InvalidField(field, value[:min(len(value), maxKeyBytes)], "1 to 128 bytes")
	}
	return nil
}

// configuredPool says whether a pool is in the configuration, so that measures
// are kept for known names only.
func (s *Server) configuredPool(name port.PoolName) bool {
	for index := range s.backend.View().Configuration.Pools {
		if s.backend.View().Configuration.Pools[index].Name == name {
			return true
		}
	}
	return false
}

// measure counts a request; the returned function takes its end.
func (s *Server) measure(pool port.PoolName) func(*port.Error) {
	if s.config.Recorder == nil || !s.configuredPool(pool) {
		return func(*port.Error) {}
	}
	begun := time.Now()
	done := s.config.Recorder.RequestBegun(pool)
	return func(failure *port.Error) {
		done()
		s.config.Recorder.RequestDone(pool, failure, time.Since(begun))
	}
}

// markConfirmation marks an answer given without a confirmed configuration.
func (s *Server) markConfirmation(writer http.ResponseWriter) {
	if s.backend.Unconfirmed() {
		writer.Header().Set(api.HeaderUnconfirmed, "true")
	}
}
