package httpserve

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// StatusClientClosed is the nonstandard status for a cancelled request.
const StatusClientClosed = 499

const contentTypeJSON = "application/json"

// Status returns the HTTP status for a code.
func Status(code port.Code) int {
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
	case port.CodeMisdirected:
		return http.StatusMisdirectedRequest
	case port.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case port.CodeCancelled:
		return StatusClientClosed
	case port.CodeBackEnd:
		return http.StatusBadGateway
	case port.CodeDeadline:
		return http.StatusGatewayTimeout
	case port.CodeQueueFull, port.CodeNoBackEnd, port.CodeUnavailable, port.CodeDraining, port.CodeNotReady, port.CodeUnconfirmed, port.CodeWithheld:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// Detail returns the JSON form of a failure. An unset verdict becomes MayHaveRun.
func Detail(failure *port.Error) api.ErrorDetail {
	return api.ErrorDetail{
		Code:         string(failure.Code),
		Verdict:      reportedVerdict(failure).String(),
		Message:      failure.Message,
		Field:        failure.Field,
		Value:        failure.Value,
		Allowed:      failure.Allowed,
		RetryAfterMs: failure.RetryAfter.Milliseconds(),
	}
}

func reportedVerdict(failure *port.Error) port.Verdict {
	if failure.Verdict == port.VerdictUnset {
		return port.MayHaveRun
	}
	return failure.Verdict
}

// ParseDetail converts the JSON form of a failure to a port.Error.
func ParseDetail(detail api.ErrorDetail) *port.Error {
	verdict := port.ParseVerdict(detail.Verdict)
	if verdict == port.VerdictUnset {
		verdict = port.MayHaveRun
	}
	return &port.Error{
		Verdict:    verdict,
		Code:       port.Code(detail.Code),
		Message:    detail.Message,
		Field:      detail.Field,
		Value:      detail.Value,
		Allowed:    detail.Allowed,
		RetryAfter: time.Duration(detail.RetryAfterMs) * time.Millisecond,
	}
}

// WriteError writes an error response.
func WriteError(writer http.ResponseWriter, failure *port.Error) {
	WriteErrorBody(writer, failure, api.ErrorBody{Error: Detail(failure)})
}

// WriteErrorBody writes an error response with a body that extends api.ErrorBody.
func WriteErrorBody(writer http.ResponseWriter, failure *port.Error, body any) {
	header := writer.Header()
	header.Set(api.HeaderVerdict, reportedVerdict(failure).String())
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceilSeconds(failure.RetryAfter), 10))
	}
	if failure.Code == port.CodeUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	WriteJSON(writer, Status(failure.Code), body)
}

// ceilSeconds rounds up, so that clients don't retry too early.
func ceilSeconds(duration time.Duration) int64 {
	return int64((duration + time.Second - 1) / time.Second)
}

// WriteJSON writes a JSON response. It ignores write errors, which the client detects by
// the truncated body.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
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
