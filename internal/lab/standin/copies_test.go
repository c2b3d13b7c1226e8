package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// heldTransport calls onHeader before it returns the header of a batch, and onRead before
// the first read of the content, which the node has sent completely by then.
type heldTransport struct {
	onHeader, onRead func()
	hideLength       bool
}

func (h *heldTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil || request.Method != http.MethodGet {
		return response, err
	}
	if h.hideLength {
		response.ContentLength = -1
	}
	if h.onHeader != nil {
		h.onHeader()
	}
	response.Body = &heldBody{response.Body, h.onRead}
	return response, nil
}

type heldBody struct {
	io.ReadCloser
	onRead func()
}

func (b *heldBody) Read(data []byte) (int, error) {
	if b.onRead != nil {
		b.onRead()
		b.onRead = nil
	}
	return b.ReadCloser.Read(data)
}

// TestStaleCopiesAreFound guards against a copy that is sent after the trainer began a
// publication and goes unnoticed, and against a violation by a copy that was sent before.
func TestStaleCopiesAreFound(t *testing.T) {
	cases := []struct {
		name                 string
		publishBeforeHeader  bool
		publishBeforeContent bool
		hideLength           bool
		stale                bool
	}{
		{name: "read before the publication"},
		{name: "sent before the publication and read after it", publishBeforeContent: true},
		{name: "sent after the publication", publishBeforeHeader: true, stale: true},
		{name: "content of unknown length after the publication", publishBeforeContent: true, hideLength: true, stale: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			const pool = "p"
			node := httptest.NewServer(&copyingNode{})
			defer node.Close()
			trainer := mustStart[*Trainer](t)(StartTrainer(t.Context(), TrainerConfig{Pool: pool}))
			trainer.config.Nodes = []string{node.URL}
			publish := func() {
				if !trainer.publishNext(t.Context()) {
					t.Error("the version was not published")
				}
			}
			held := &heldTransport{hideLength: test.hideLength}
			if test.publishBeforeHeader {
				held.onHeader = publish
			}
			if test.publishBeforeContent {
				held.onRead = publish
			}
			trainer.client.Transport = held
			trainer.requestDuplicate(t.Context(), 1)
			observed := trainer.Observations()
			if len(observed.Deliveries) != 1 {
				t.Fatalf("%d deliveries, want 1", len(observed.Deliveries))
			}
			stale := false
			for _, violation := range audit.Check(observed, audit.Limits{Staleness: map[string]uint64{pool: 0}}) {
				stale = stale || violation.Rule == audit.RuleStaleness
			}
			if stale != test.stale {
				t.Errorf("stale: %v, want %v: %+v", stale, test.stale, observed.Deliveries[0])
			}
		})
	}
}

// copyingNode answers every request for a batch with a sample of version 1, and accepts
// every publication.
type copyingNode struct{}

func (*copyingNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		writeJSON(w, api.PublishedWeights{Version: 2})
		return
	}
	sample := api.Sample{ID: "s-1", Tokens: 1, Spans: []port.Span{{Version: 1, Tokens: 1}}}
	writeJSON(w, api.Batch{Number: 1, Attempt: 1, Samples: []api.Sample{sample}})
}
