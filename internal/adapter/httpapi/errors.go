package httpapi

import (
	"net/http"
	"strconv"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// errorBody returns the response body for a failure.
func errorBody(failure *port.Error) api.ErrorBody {
	return api.ErrorBody{Error: httpserve.Detail(failure)}
}

// fail writes an error response.
func (s *Server) fail(writer http.ResponseWriter, failure *port.Error) {
	httpserve.WriteError(writer, failure)
}

func formatInt(value int64) string { return strconv.FormatInt(value, 10) }
