package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// statusClientClosed is the customary status for a caller that gave up.
const statusClientClosed = 499

const contentTypeJSON = "application/json"

// statusOf gives the HTTP status of a code.
func statusOf(code port.Code) int {
	switch code {
	case port.CodeInvalid:
		return http.StatusBadRequest
	case port.CodeUnauthorized:
		return http.StatusUnauthorized
	case port.CodeNotFound:
		return http.StatusNotFound
	case port.CodeConflict, port.CodeChangeIDReused, port.CodeFenced, port.CodeLeaseHeld, port.CodeStale:
		return http.StatusConflict
	case port.CodeChangeExpired:
		return http.StatusGone
	case port.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case port.CodeCancelled:
		return statusClientClosed
	case port.CodeBackEnd:
		return http.StatusBadGateway
	case port.CodeDeadline:
		return http.StatusGatewayTimeout
	case port.CodeQueueFull, port.CodeNoBackEnd, port.CodeUnavailable, port.CodeDraining, port.CodeNotReady, port.CodeUnconfirmed:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// errorBody gives the body that tells of a failure. An unset verdict is told
// as may-have-run.
func errorBody(failure *port.Error) api.ErrorBody {
	return api.ErrorBody{Error: api.ErrorDetail{
		Code:         string(failure.Code),
		Verdict:      toldVerdict(failure).String(),
		Message:      failure.Message,
		Field:        failure.Field,
		Value:        failure.Value,
		Allowed:      failure.Allowed,
		RetryAfterMs: failure.RetryAfter.Milliseconds(),
	}}
}

func toldVerdict(failure *port.Error) port.Verdict {
	if failure.Verdict == port.VerdictUnset {
		return port.MayHaveRun
	}
	return failure.Verdict
}

// fail writes an error answer.
func (s *Server) fail(writer http.ResponseWriter, failure *port.Error) {
	header := writer.Header()
	header.Set(api.HeaderVerdict, toldVerdict(failure).String())
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(failure.RetryAfter), 10))
	}
	if failure.Code == port.CodeUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(writer, statusOf(failure.Code), errorBody(failure))
}

// wholeSeconds rounds up, so that nobody comes back too early.
func wholeSeconds(duration time.Duration) int64 {
	return int64((duration + time.Second - 1) / time.Second)
}

// writeJSON writes a whole JSON answer. A failed write shows to the client,
// which misses the end; there is no one else to tell.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		encoded = []byte(`{"error":{"code":"internal","verdict":"may-have-run","message":"answer cannot be encoded"}}`)
		writer.Header().Set(api.HeaderVerdict, port.MayHaveRun.String())
	}
	header := writer.Header()
	header.Set("Content-Type", contentTypeJSON)
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

func formatInt(value int64) string { return strconv.FormatInt(value, 10) }
