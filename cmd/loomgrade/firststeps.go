package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// firstSteps holds example commands for a running fleet. They work as printed: the
// operator token is in a file, and the id to explain is that of a request already sent.
type firstSteps struct {
	folder   string
	nodes    []string
	operator string
	commands []string
}

// newFirstSteps sends a request to the fleet and writes the operator token file.
func newFirstSteps(ctx context.Context, fleet *localfleet.Fleet) (*firstSteps, error) {
	request, err := sendFirstRequest(ctx, fleet)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "loomgrade-dev-")
	if err != nil {
		return nil, eris.Wrap(err, "token folder")
	}
	token := filepath.Join(folder, "operator.token")
	if err := os.WriteFile(token, []byte(fleet.OperatorToken()), 0o600); err != nil {
		return nil, eris.Wrap(err, "token file")
	}
	server := fleet.OperatorAddress(0)
	steps := &firstSteps{folder: folder, nodes: fleet.NodeURLs(), operator: server}
	steps.add("status --server %s --token-file %s", server, token)
	steps.add("pool show %s --server %s --token-file %s", fleet.Plan().Trainers[0].Pool, server, token)
	steps.add("explain %s --node %s --token-file %s", request, fleet.NodeURL(0), token)
	return steps, nil
}

// sendFirstRequest makes an application call and returns its request id.
func sendFirstRequest(ctx context.Context, fleet *localfleet.Fleet) (port.RequestID, error) {
	address := fleet.NodeURL(0) + api.PathApplication + string(fleet.Plan().Application.Pool) + "/first-request"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return "", eris.Wrap(err, "first request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "first request")
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "", eris.Wrap(err, "response to the first request")
	}
	return port.RequestID(response.Header.Get(api.HeaderRequestID)), nil
}

func (f *firstSteps) add(format string, arguments ...any) {
	f.commands = append(f.commands, programName()+" "+fmt.Sprintf(format, arguments...))
}

// print writes the addresses and the commands.
func (f *firstSteps) print(out io.Writer) {
	fmt.Fprintf(out, "nodes for callers: %s\noperators: %s\ntry:\n", strings.Join(f.nodes, " "), f.operator)
	for _, command := range f.commands {
		fmt.Fprintln(out, "  "+command)
	}
}

// remove deletes the token file and its folder.
func (f *firstSteps) remove() { _ = os.RemoveAll(f.folder) }

// goRunFolder occurs in the path of every program built by `go run`.
const goRunFolder = "go-build"

// programName returns the command that runs this program.
func programName() string {
	path, err := os.Executable()
	if err != nil {
		return "loomgrade"
	}
	if strings.Contains(path, goRunFolder) {
		return "go run ./cmd/loomgrade"
	}
	return path
}
