package main

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// operatorFlags are the flags of the commands that call control members.
type operatorFlags struct {
	Server    []string      `env:"LOOMGRADE_SERVERS" default:"127.0.0.1:7111,127.0.0.1:7112,127.0.0.1:7113" help:"Operator addresses (IP:port) of control members, tried in order."`
	TokenFile string        `env:"LOOMGRADE_TOKEN_FILE" required:"" type:"path" help:"File that holds the operator token."`
	Timeout   time.Duration `default:"30s" help:"How long to try."`

	outputFlags `embed:""`
}

// connect returns a client and a context limited by the timeout.
func (f *operatorFlags) connect() (*operatorapi.Client, context.Context, context.CancelFunc, error) {
	token, err := operatorapi.LoadToken(f.TokenFile)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	client, err := operatorapi.NewClient(f.Server, token)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return client, ctx, cancel, nil
}

// query makes one call and prints the response as JSON or as a table.
func query[Answer any](flags *operatorFlags, std streams, call func(*operatorapi.Client, context.Context) (Answer, error), show func(*table, Answer)) error {
	client, ctx, cancel, err := flags.connect()
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := call(client, ctx)
	if err != nil {
		return err
	}
	return output(flags.outputFlags, std, answer, show)
}

func showAccepted(lines *table, accepted operatorapi.Accepted) {
	lines.row("accepted, revision", accepted.Revision)
}

// adviseRetry appends how to retry safely to the message of an error after which the change
// may have been accepted.
func adviseRetry(err error, changeID string) error {
	if refusal := port.AsError(err); refusal != nil && refusal.Verdict == port.MayHaveRun {
		extended := *refusal
		extended.Message += "; the change may have been accepted: repeat the command with --change-id " + changeID
		return &extended
	}
	return err
}
