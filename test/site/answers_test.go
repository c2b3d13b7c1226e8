package site_test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// TestAnswersAboutJobsAreReservedFirst checks that a front reserves the memory for a page or the body of an
// item before a store sends it, also for those that are larger than the front expects.
func TestAnswersAboutJobsAreReservedFirst(t *testing.T) {
	const budgetBytes, textBytes, bodyBytes = 1 << 20, 200 << 10, 150 << 10
	s := newSite(t, 1, 1)
	s.toleratedLosses = 0
	s.budget = membudget.NewBudget(budgetBytes)
	s.start()
	s.configure()
	engine := sitestandin.NewEngine(t, "i-lm", lm, model)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	engine.Handle = func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get(sitestandin.Headers.RequestID)
		if strings.HasPrefix(id, "held") {
			select {
			case <-held:
			case <-r.Context().Done():
			}
			return true
		}
		w.Header().Set(sitestandin.Headers.Signature, sitestandin.SignatureOf(id))
		w.Header().Set(sitestandin.Headers.WeightVersion, "1")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", strings.Repeat("x", textBytes))
		return true
	}
	s.add(engine, sitestandin.NewReplica(t, "i-plain", plain))
	s.submit("texts", job(1, "item-1", "item-2", "item-3"))
	body := strings.Repeat("b", bodyBytes)
	s.submit("bodies", fmt.Appendf(nil, `{"step":1,"model":%q,"minVersion":1,"desired":1,"requests":[{"id":"held-1","path":"/jobs/run","body":%q}]}`,
		model, base64.StdEncoding.EncodeToString([]byte(body))))
	for number := range 3 {
		waitUntil(t, "a page of one result", func() bool {
			status, page := s.read("texts", number)
			return status == http.StatusOK && len(page.Results) > 0 && len(page.Results[0].Text) == textBytes
		})
	}
	itemBody := func() (int, string) {
		status, read, _ := do(http.MethodGet, s.fronts[0].http.URL+"/loomgrade/items/bodies?id=held-1", host, nil, nil)
		return status, read
	}
	if status, read := itemBody(); status != http.StatusOK || read != body {
		t.Errorf("the body of the item: status %d, %d bytes", status, len(read))
	}
	others := s.budget.NewReservation()
	waitUntil(t, "the memory of the requests before is released", func() bool { return others.Reserve(budgetBytes - textBytes) })
	if status, read := itemBody(); status != http.StatusServiceUnavailable {
		t.Errorf("the body of the item without memory: status %d, %d bytes", status, len(read))
	}
	if status, _ := s.read("texts", 0); status != http.StatusServiceUnavailable {
		t.Errorf("a page without memory: status %d", status)
	}
	others.Close()
	if status, read := itemBody(); status != http.StatusOK || read != body {
		t.Errorf("the body of the item after that: status %d, %d bytes", status, len(read))
	}
	waitUntil(t, "no memory stays reserved", func() bool { return s.budget.Used() == 0 })
}
