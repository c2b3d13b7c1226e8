package logtrace

import (
	"fmt"
	"strings"
)

// Waits returns how long the request that the lines are about waited for send limits, or "" if
// no line reports a wait.
func Waits(lines []Line) string {
	var waits []string
	for _, line := range lines {
		if line.Event == "request.carried" && line.field("waited_ms") != "" {
			waits = append(waits, fmt.Sprintf("%d ms at %s for the send limit of service %s", line.number("waited_ms"), line.Process, line.field("service")))
		}
	}
	return strings.Join(waits, ", then ")
}

// causeOfRefusal returns why a send limit refused a request, and on which figures.
func causeOfRefusal(line Line) string {
	return fmt.Sprintf("%s refused it %s; it has not run, and may come back after %d ms", line.Process, refusalReason(line), line.number("retry_after_ms"))
}

func refusalReason(line Line) string {
	service, limit := line.field("service"), limitFigures(line)
	switch line.field("refusal") {
	case "tenant":
		return fmt.Sprintf("because tenant %q recently used service %s the most, %s", line.field("tenant"), service, limit)
	case "deadline":
		return fmt.Sprintf("because its deadline leaves too little time for service %s, %s", service, limit)
	case "retry_budget":
		return fmt.Sprintf("because no further try was left in the retry budget of service %s after %s sends, to replicas %s; the last failure: %s",
			service, line.field("sends"), line.field("tried"), orNone(line.field("last_failure")))
	case "queue":
		if line.number("sends") > 0 {
			return fmt.Sprintf("because every replica of service %s that it could be sent to refused it: %s", service, line.field("tried"))
		}
		return fmt.Sprintf("because service %s can't serve it in time, %s", service, limit)
	default:
		return fmt.Sprintf("by the send limit of service %s (%s), %s", service, line.field("refusal"), limit)
	}
}

// limitFigures returns the limit in force and the number of waiting requests.
func limitFigures(line Line) string {
	if line.field("rate") == "0" {
		return "to which it sent without a limit"
	}
	return fmt.Sprintf("to which it sent at most %s requests a second while %s waited", line.field("rate"), line.field("waiting"))
}
