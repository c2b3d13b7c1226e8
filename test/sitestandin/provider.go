package sitestandin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// UsageCall is a usage report that a Provider received.
type UsageCall struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
	Holder string
	Fence  uint64
	At     time.Time
	// Status is the status of the Provider's response; 0 if it sent none.
	Status int
}

// Provider is a stand-in for the provider of the site's machines.
type Provider struct {
	// Respond, if set, returns the status of the response to the n-th call, counted from 0;
	// 0 means to accept the report and close the connection without a response.
	Respond func(n int) int

	server *httptest.Server
	mutex  sync.Mutex
	calls  []UsageCall
}

// NewProvider starts a Provider.
func NewProvider(t *testing.T) *Provider {
	p := &Provider{}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
	})
	return p
}

// Address returns the provider's address.
func (p *Provider) Address() string { return p.server.Listener.Addr().String() }

func (p *Provider) serve(w http.ResponseWriter, r *http.Request) {
	call := UsageCall{Holder: r.Header.Get(Headers.LeaseHolder), At: time.Now(), Status: http.StatusOK}
	call.Fence, _ = strconv.ParseUint(r.Header.Get(Headers.FencingToken), 10, 64)
	if r.Method != http.MethodPost || r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	if p.Respond != nil {
		call.Status = p.Respond(len(p.calls))
	}
	p.calls = append(p.calls, call)
	p.mutex.Unlock()
	if call.Status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(call.Status)
}

// Calls returns all usage reports so far.
func (p *Provider) Calls() []UsageCall {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]UsageCall(nil), p.calls...)
}

// AcceptedCounts returns the counts of all accepted windows, and whether two reports of one
// window had different counts.
func (p *Provider) AcceptedCounts() (counts map[int64]map[string]uint64, differ bool) {
	counts = map[int64]map[string]uint64{}
	sent := map[int64]string{}
	for _, call := range p.Calls() {
		encoded, _ := json.Marshal(call.Counts)
		if previous, repeated := sent[call.Window]; repeated && previous != string(encoded) {
			differ = true
		}
		sent[call.Window] = string(encoded)
		if call.Status == 0 || call.Status == http.StatusOK {
			counts[call.Window] = call.Counts
		}
	}
	return counts, differ
}
