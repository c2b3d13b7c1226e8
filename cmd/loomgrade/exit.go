package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Exit codes, documented in docs/operators/command-line.md.
const (
	exitOK          = 0
	exitFailure     = 1 // any error without a specific code
	exitUsage       = 2 // invalid command line, settings file or field
	exitConflict    = 3 // conflict with another change
	exitUnavailable = 4 // no process responded, or none in contact with a quorum
	exitNotFound    = 5 // the named object does not exist
	exitDenied      = 6 // missing or wrong token
	exitAudit       = 7 // the audit of a run found violations
)

// errAudit is returned for a run with invariant violations.
var errAudit = errors.New("the audit found violations")

// usageError marks an error in the command line or in an input file.
type usageError struct{ error }

// streams are the standard streams of one invocation.
type streams struct{ stdout, stderr *os.File }

// report prints an error, one prefixed line for each line of its text, and returns the
// exit code.
func report(stderr *os.File, err error) int {
	if err == nil {
		return exitOK
	}
	for line := range strings.Lines(strings.TrimSpace(err.Error())) {
		fmt.Fprintf(stderr, "loomgrade: %s\n", strings.TrimSpace(line))
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	var setting *settings.Error
	var portError *port.Error
	switch {
	case errors.As(err, &usage), errors.As(err, &setting):
		return exitUsage
	case errors.Is(err, errAudit):
		return exitAudit
	case errors.As(err, &portError):
		return exitCodeFor(portError.Code)
	default:
		return exitFailure
	}
}

func exitCodeFor(code port.Code) int {
	switch code {
	case port.CodeInvalid, port.CodeTooLarge:
		return exitUsage
	case port.CodeConflict, port.CodeChangeIDReused, port.CodeChangeExpired, port.CodeFenced, port.CodeLeaseHeld:
		return exitConflict
	case port.CodeUnavailable, port.CodeDraining, port.CodeDeadline, port.CodeQueueFull, port.CodeNotReady, port.CodeWithheld:
		return exitUnavailable
	case port.CodeNotFound:
		return exitNotFound
	case port.CodeUnauthorized:
		return exitDenied
	default:
		return exitFailure
	}
}
