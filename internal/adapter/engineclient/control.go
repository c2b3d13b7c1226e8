package engineclient

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

func encodeCompletion(request port.GenerateRequest) ([]byte, error) {
	body, err := json.Marshal(api.Completion{
		Model:        string(request.Pool),
		Prompt:       request.Prompt,
		MaxTokens:    request.MaxTokens,
		Stream:       true,
		Priority:     int(request.Priority),
		Seed:         request.Seed,
		Adapter:      request.Adapter,
		ResumeText:   request.Resume,
		ResumeTokens: request.ResumeTokens,
		KVHandle:     request.KVHandle,
		MinVersion:   uint64(request.MinVersion),
	})
	if err != nil {
		return nil, eris.Wrap(port.NewError(port.NotRun, port.CodeInvalid, "%v", err), "encode completion")
	}
	return body, nil
}

// Order sends a fenced order; see port.Engine.
func (c *Client) Order(ctx context.Context, order port.Order) (port.LoadReport, error) {
	var report port.LoadReport
	err := c.control.JSON(ctx, http.MethodPost, c.base+api.PathEngineOrders, "", order, &report, c.limits.AnswerBytes)
	return report, err
}

// Load requests the load report; see port.Engine.
func (c *Client) Load(ctx context.Context) (port.LoadReport, error) {
	var report port.LoadReport
	err := c.control.JSON(ctx, http.MethodGet, c.base+api.PathEngineLoad, "", nil, &report, c.limits.AnswerBytes)
	return report, err
}

// CacheEvents returns the events after a sequence number, in order and without
// duplicates; see port.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (events []port.CacheEvent, gap bool, err error) {
	target := c.base + api.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	var answer api.CacheEvents
	if err := c.control.JSON(ctx, http.MethodGet, target, "", nil, &answer, c.limits.AnswerBytes); err != nil {
		return nil, false, err
	}
	events, gap = orderEvents(answer.Events, after)
	return events, gap || answer.First > after+1, nil
}

// orderEvents sorts events, drops duplicates and events up to after, and reports whether
// a sequence number above after is missing.
func orderEvents(events []port.CacheEvent, after uint64) (ordered []port.CacheEvent, gap bool) {
	bySequence := func(a, b port.CacheEvent) int { return cmp.Compare(a.Sequence, b.Sequence) }
	slices.SortStableFunc(events, bySequence)
	last := after
	for _, event := range events {
		if event.Sequence <= last {
			continue
		}
		gap = gap || event.Sequence != last+1
		last = event.Sequence
		ordered = append(ordered, event)
	}
	return ordered, gap
}

// ExportKV requests a handle for a running request's cache; see port.Engine. It converts
// a relative handle to a URL of this engine, so that another engine can fetch it.
func (c *Client) ExportKV(ctx context.Context, id port.RequestID) (handle string, err error) {
	var answer api.KVHandle
	body := api.KVExport{RequestID: string(id)}
	if err := c.control.JSON(ctx, http.MethodPost, c.base+api.PathKVExport, "", body, &answer, c.limits.AnswerBytes); err != nil {
		return "", err
	}
	switch {
	case answer.Handle == "":
		return "", httpcall.Malformed("export gave no handle")
	case strings.HasPrefix(answer.Handle, "http://"):
		return answer.Handle, nil
	default:
		return c.base + strings.Replace(api.PathKVBlob, "{handle}", answer.Handle, 1), nil
	}
}
