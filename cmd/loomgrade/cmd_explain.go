package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// maxExplanationBytes bounds an explanation.
const maxExplanationBytes = 16 << 20

// explainCommand tells why something happened.
type explainCommand struct {
	ID        string        `arg:"" help:"Id of a request (r-…), sample (s-…), batch (b-POOL-NUMBER-ATTEMPT), a replica's id or a revision."`
	Node      []string      `env:"LOOMGRADE_NODES" default:"http://127.0.0.1:7121" help:"Base URLs of nodes, tried in order."`
	TokenFile string        `env:"LOOMGRADE_TOKEN_FILE" required:"" type:"path" help:"File that holds the operator token."`
	Timeout   time.Duration `default:"30s" help:"How long to try."`

	outputFlags `embed:""`
}

// Run prints the decisions in plain words, oldest first.
func (c *explainCommand) Run(std streams) error {
	token, err := operatorapi.LoadToken(c.TokenFile)
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	explanation, err := c.ask(ctx, token)
	if err != nil {
		return err
	}
	return output(c.outputFlags, std, explanation, func(lines *table, answer httpapi.Explanation) {
		for _, line := range answer.Text {
			lines.row(line)
		}
	})
}

// ask tries the nodes in order; an answer that the id is not known at one node
// is final only if no other node knows it.
func (c *explainCommand) ask(ctx context.Context, token string) (httpapi.Explanation, error) {
	var failure error
	for _, node := range c.Node {
		explanation, err := askNode(ctx, node, token, c.ID)
		if err == nil {
			return explanation, nil
		}
		failure = err
	}
	return httpapi.Explanation{}, failure
}

func askNode(ctx context.Context, node, token, id string) (httpapi.Explanation, error) {
	var explanation httpapi.Explanation
	address := strings.TrimSuffix(node, "/") + strings.Replace(api.PathExplain, "{id}", url.PathEscape(id), 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return explanation, usageError{err}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return explanation, port.NewError(port.NotRun, port.CodeUnavailable, "%v", err)
	}
	defer response.Body.Close()
	body := json.NewDecoder(io.LimitReader(response.Body, maxExplanationBytes))
	if response.StatusCode == http.StatusOK {
		return explanation, body.Decode(&explanation)
	}
	var refused api.ErrorBody
	if err := body.Decode(&refused); err != nil {
		return explanation, port.NewError(port.NotRun, port.CodeUnavailable, "%s answered status %d", node, response.StatusCode)
	}
	return explanation, port.NewError(port.ParseVerdict(refused.Error.Verdict), port.Code(refused.Error.Code), "%s", refused.Error.Message)
}
