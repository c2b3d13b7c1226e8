package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// maxExplanationBytes limits the size of an explanation.
const maxExplanationBytes = 16 << 20

// nodeTimeout limits the wait for one node, which may be partitioned.
const nodeTimeout = 5 * time.Second

// explainCommand explains the outcome of a request, sample, batch, replica or revision.
type explainCommand struct {
	operatorFlags `embed:""`
	ID            string   `arg:"" help:"Id of a request (r-…), sample (s-…), batch (b-POOL-NUMBER-ATTEMPT), a replica's id or the number of a revision."`
	Node          []string `env:"LOOMGRADE_NODES" default:"http://127.0.0.1:7121" help:"Base URLs of nodes, tried in order."`
}

// Run prints the decisions as text, oldest first.
func (c *explainCommand) Run(std streams) error {
	explanation, err := c.explain()
	if err != nil {
		return err
	}
	return output(c.outputFlags, std, explanation, func(lines *table, answer httpapi.Explanation) {
		for _, line := range answer.Text {
			lines.row(line)
		}
	})
}

// explain queries control members for a revision, and nodes for any other id.
func (c *explainCommand) explain() (httpapi.Explanation, error) {
	if revision, err := strconv.ParseUint(strings.TrimPrefix(c.ID, "revision/"), 10, 64); err == nil {
		return c.explainRevision(port.Revision(revision))
	}
	token, err := operatorapi.LoadToken(c.TokenFile)
	if err != nil {
		return httpapi.Explanation{}, usageError{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	return c.queryNodes(ctx, token)
}

// explainRevision reports how a revision was accepted and where it is in force.
func (c *explainCommand) explainRevision(revision port.Revision) (httpapi.Explanation, error) {
	explanation := httpapi.Explanation{Subject: fmt.Sprintf("revision/%d", revision), Decisions: []port.Decision{}}
	client, ctx, cancel, err := c.connect()
	if err != nil {
		return explanation, err
	}
	defer cancel()
	history, err := client.History(ctx)
	if err != nil {
		return explanation, err
	}
	status, err := client.ConfigStatus(ctx)
	if err != nil {
		return explanation, err
	}
	for _, change := range history.Changes {
		if change.Revision == revision {
			explanation.Text = []string{acceptedText(change), inForceText(revision, status)}
			return explanation, nil
		}
	}
	return explanation, port.NewError(port.NotRun, port.CodeNotFound, "revision %d is not among the %d accepted changes on record", revision, len(history.Changes))
}

func acceptedText(change registry.HistoryEntry) string {
	text := fmt.Sprintf("%s Configuration revision %d was accepted at log position %d under change id %s with %d edits",
		formatTime(change.Time), change.Revision, change.Index, change.ChangeID, change.Edits)
	if change.Author != "" {
		text += " by " + change.Author
	}
	if change.Note != "" {
		text += ": " + change.Note
	}
	return text + "."
}

// inForceText counts the nodes that have reached a revision. Revisions only increase, so
// a node at a later revision counts too.
func inForceText(revision port.Revision, status operatorapi.ConfigStatus) string {
	reached, silent := 0, 0
	for _, node := range status.Nodes {
		switch {
		case node.State == operatorapi.StateSilent:
			silent++
		case node.Revision >= revision:
			reached++
		}
	}
	return fmt.Sprintf("Of %d nodes, %d are at this revision or a later one and %d are silent. The configuration is now at revision %d.",
		len(status.Nodes), reached, silent, status.Revision)
}

// queryNodes queries the nodes in order and returns the first explanation, or the
// last node's error.
func (c *explainCommand) queryNodes(ctx context.Context, token string) (httpapi.Explanation, error) {
	var failure error
	for _, node := range c.Node {
		explanation, err := queryNode(ctx, node, token, c.ID)
		if err == nil {
			return explanation, nil
		}
		failure = err
	}
	return httpapi.Explanation{}, failure
}

func queryNode(ctx context.Context, node, token, id string) (httpapi.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	var explanation httpapi.Explanation
	address := strings.TrimSuffix(node, "/") + strings.Replace(api.PathExplain, "{id}", url.PathEscape(id), 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return explanation, usageError{err}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}
	response, err := httpcall.CheckedClient(transport, nodeTimeout).Do(request)
	if err != nil {
		return explanation, port.NewError(port.NotRun, port.CodeUnavailable, "%v", err)
	}
	defer response.Body.Close()
	body := json.NewDecoder(io.LimitReader(response.Body, maxExplanationBytes))
	if response.StatusCode == http.StatusOK {
		return explanation, body.Decode(&explanation)
	}
	var errorBody api.ErrorBody
	if err := body.Decode(&errorBody); err != nil {
		return explanation, port.NewError(port.NotRun, port.CodeUnavailable, "%s responded with status %d", node, response.StatusCode)
	}
	return explanation, port.NewError(port.ParseVerdict(errorBody.Error.Verdict), port.Code(errorBody.Error.Code), "%s", errorBody.Error.Message)
}
