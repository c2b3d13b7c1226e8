package operatorapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
)

func writeError(writer http.ResponseWriter, err error) {
	httpserve.WriteError(writer, port.AsError(err))
}

// readJSON reads one JSON value strictly: it rejects, as not run, unknown fields, wrong
// types, trailing data and bodies over the limit.
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
