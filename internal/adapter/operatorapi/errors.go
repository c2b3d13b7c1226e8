package operatorapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// statusOf gives the HTTP status of an error.
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
	case port.CodeQueueFull:
		return http.StatusTooManyRequests
	case port.CodeUnavailable, port.CodeDraining, port.CodeNotReady:
		return http.StatusServiceUnavailable
	case port.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// detailOf gives the JSON form of an error.
func detailOf(refusal *port.Error) api.ErrorDetail {
	return api.ErrorDetail{
		Code:         string(refusal.Code),
		Verdict:      refusal.Verdict.String(),
		Message:      refusal.Message,
		Field:        refusal.Field,
		Value:        refusal.Value,
		Allowed:      refusal.Allowed,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}
}

// errorOf reads the JSON form of an error.
func errorOf(detail api.ErrorDetail) *port.Error {
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

func writeError(writer http.ResponseWriter, err error) {
	refusal := port.AsError(err)
	writeErrorBody(writer, refusal, api.ErrorBody{Error: detailOf(refusal)})
}

func writeErrorBody(writer http.ResponseWriter, refusal *port.Error, body any) {
	writer.Header().Set(api.HeaderVerdict, refusal.Verdict.String())
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(writer, statusOf(refusal.Code), body)
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // a caller that left needs no answer
}

// readJSON reads one JSON value strictly: an unknown field, a wrong type, more
// than one value and a body over the limit are refused as not run.
func readJSON(writer http.ResponseWriter, request *http.Request, limit int64, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return bodyError(err, limit)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return port.InvalidField("body", "more than one JSON value", "one JSON object")
	}
	return nil
}

func bodyError(err error, limit int64) *port.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal := port.NewError(port.NotRun, port.CodeTooLarge, "the body is too large")
		refusal.Field, refusal.Allowed = "body", "up to "+strconv.FormatInt(limit, 10)+" bytes"
		return refusal
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return port.InvalidField(wrongType.Field, wrongType.Value, wrongType.Type.String())
	}
	refusal := port.InvalidField("body", "", "a JSON object with the documented fields")
	refusal.Message = err.Error()
	return refusal
}
