package callbody_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/callbody"
	"github.com/loomgrade/loomgrade/internal/core/jsoncost"
)

func TestReadBody(t *testing.T) {
	const limit = 10_000
	costs := jsoncost.Costs{Element: []int64{100}, Text: 1}
	list := "[" + strings.Repeat("1,", 99) + "1]" // takes some 10,200 bytes beside its text
	for name, row := range map[string]struct {
		body   io.Reader
		length int64
		budget int64
		used   int64
		want   int
	}{
		"within the limits":      {strings.NewReader(list), int64(len(list)), 20_000, 0, http.StatusOK},
		"of unknown length":      {strings.NewReader(list), -1, 60_000, 0, http.StatusOK},
		"no budget":              {strings.NewReader(list), int64(len(list)), 0, 0, http.StatusOK},
		"announced too large":    {strings.NewReader(""), limit + 1, 0, 0, http.StatusRequestEntityTooLarge},
		"too large":              {strings.NewReader(strings.Repeat("1", limit+1)), -1, 0, 0, http.StatusRequestEntityTooLarge},
		"can never fit":          {strings.NewReader(list), int64(len(list)), 10_000, 0, http.StatusRequestEntityTooLarge},
		"does not fit now":       {strings.NewReader(list), int64(len(list)), 20_000, 15_000, http.StatusServiceUnavailable},
		"does not arrive":        {iotest.ErrReader(os.ErrDeadlineExceeded), 10, 0, 0, http.StatusRequestTimeout},
		"ends before its length": {strings.NewReader("1"), 10, 0, 0, http.StatusBadRequest},
	} {
		budget := membudget.NewBudget(row.budget)
		others := budget.NewReservation()
		others.Reserve(row.used)
		request := httptest.NewRequest(http.MethodPut, "/", row.body)
		request.ContentLength = row.length
		recorder := httptest.NewRecorder()
		_, release, ok := callbody.NewReader(budget).Read(recorder, request, limit, &costs)
		if ok != (row.want == http.StatusOK) || recorder.Code != row.want {
			t.Errorf("%s: ok %v, status %d, want %d", name, ok, recorder.Code, row.want)
		}
		if retry := recorder.Header().Get("Retry-After"); (retry != "") != (row.want == http.StatusServiceUnavailable) {
			t.Errorf("%s: Retry-After %q", name, retry)
		}
		if ok {
			release()
		}
		others.Close()
		if used := budget.Used(); used != 0 {
			t.Errorf("%s: %d bytes stay reserved", name, used)
		}
	}
}
