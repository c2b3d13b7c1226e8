// Package logtrace merges the log lines of one id from several processes and formats
// them with the cause of a failure.
package logtrace

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Line is one structured log line.
type Line struct {
	// Time is in Unix milliseconds.
	Time    int64
	Process string
	Level   string
	Event   string
	Message string
	// Fields holds all other fields.
	Fields map[string]any
}

// lineFields are the JSON fields that Line stores outside Fields.
var lineFields = []string{"time", "process", "level", "event", "message"}

// Parse parses one line, which may have a prefix before its JSON object, such as a
// collector's timestamp. It reports false if the line is not an event of loomgrade.
func Parse(text []byte) (line Line, ok bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(text[begin:]))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	line.Event, ok = fields["event"].(string)
	if !ok {
		return Line{}, false
	}
	line.Process, _ = fields["process"].(string)
	line.Level, _ = fields["level"].(string)
	line.Message, _ = fields["message"].(string)
	if number, isNumber := fields["time"].(json.Number); isNumber {
		line.Time, _ = number.Int64()
	}
	for _, name := range lineFields {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// About reports whether one of the line's fields is the id.
func (l Line) About(id string) bool {
	for _, value := range l.Fields {
		switch value := value.(type) {
		case string:
			if value == id {
				return true
			}
		case []any:
			if slices.Contains(value, any(id)) {
				return true
			}
		}
	}
	return false
}

// field returns a field as text, or "" if it is missing.
func (l Line) field(name string) string {
	value, found := l.Fields[name]
	if !found || value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Select returns the lines about an id in order of time. It adds the lines about the
// replicas that these lines name, and the state changes of the processes that wrote them.
func Select(lines []Line, id string) []Line {
	about := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return !line.About(id) })
	if len(about) == 0 {
		return nil
	}
	slices.SortStableFunc(about, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	first, last := about[0].Time-contextBefore, about[len(about)-1].Time
	processes, replicas := map[string]bool{}, map[string]bool{}
	for _, line := range about {
		processes[line.Process] = true
		if replica := line.field("replica"); replica != "" {
			replicas[replica] = true
		}
	}
	for _, line := range lines {
		if line.Time < first || line.Time > last || line.About(id) {
			continue
		}
		stateChange := processes[line.Process] && slices.Contains(stateEvents, line.Event)
		replica := replicas[line.field("replica")] && strings.HasPrefix(line.Event, "replica.")
		if stateChange || replica {
			about = append(about, line)
		}
	}
	slices.SortStableFunc(about, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return about
}

// contextBefore is how long before the first line of an id Select adds other lines, in
// milliseconds.
const contextBefore = 3000

// stateEvents are the events that change a process's view of the system.
var stateEvents = []string{
	"control.watched", "control.lost", "control.provisional", "configuration.inforce",
	"runner.started", "runner.stopped", "runner.notkept", "process.started", "process.stopping",
}

// Format formats each line with its fields in brackets, followed by the wait for a send limit
// and the cause of the failure if the lines contain them. meanings maps an event to the text for lines without a
// message.
func Format(lines []Line, meanings map[string]string) []string {
	if len(lines) == 0 {
		return nil
	}
	var formatted []string
	start := lines[0].Time
	for _, line := range lines {
		text := line.Message
		if text == "" {
			text = meanings[line.Event]
		}
		formatted = append(formatted, fmt.Sprintf("%+7d ms  %s  %s: %s [%s]", line.Time-start, line.Process, line.Event, text, details(line)))
	}
	if waits := Waits(lines); waits != "" {
		formatted = append(formatted, "waited: "+waits)
	}
	if cause := Cause(lines); cause != "" {
		formatted = append(formatted, "cause: "+cause)
	}
	return formatted
}

func details(line Line) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if value := line.field(name); value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	return strings.Join(parts, " ")
}

// Cause returns why the request or item that the lines are about failed, or "" if they contain no
// failure.
func Cause(lines []Line) string {
	for _, line := range slices.Backward(lines) {
		if cause := causeOf(line, lines); cause != "" {
			return cause
		}
	}
	return ""
}

func causeOf(line Line, lines []Line) string {
	switch line.Event {
	case "request.noroute":
		return fmt.Sprintf("configuration %s, in force at %s, has no route for host %s and target %s", line.field("version"), line.Process, line.field("host"), line.field("target"))
	case "request.nokey":
		if line.field("shown") == "true" {
			return fmt.Sprintf("configuration %s, in force at %s, has no tenant with the key that the request showed", line.field("version"), line.Process)
		}
		return fmt.Sprintf("the request has no key, and configuration %s, in force at %s, requires one", line.field("version"), line.Process)
	case "request.carried":
		return causeOfCarried(line)
	case "request.failed":
		if carried := lastEvent(lines, "request.carried"); carried != nil && causeOfCarried(*carried) != "" {
			return causeOfCarried(*carried)
		}
		return fmt.Sprintf("%s answered %s by itself: %s (its view was confirmed by a quorum: %s)", line.Process, line.field("status"), line.field("reason"), line.field("confirmed"))
	case "item.errored":
		if failures := line.field("failures"); failures != "0" {
			return fmt.Sprintf("item given up after %s failed runs: %s", failures, line.field("reason"))
		}
		return "item given up: " + line.field("reason")
	case "runner.notkept":
		return "text or results were not committed: " + line.field("error")
	default:
		return ""
	}
}

func causeOfCarried(line Line) string {
	if line.field("refusal") != "" {
		return causeOfRefusal(line)
	}
	switch line.field("code") {
	case "":
		return ""
	case "no_back_end":
		return fmt.Sprintf("no replica of service %s was known at position %s of the control state", line.field("service"), line.field("view"))
	case "queue_full":
		return fmt.Sprintf("every one of %s replicas of service %s refused it as not run; the last: %s", line.field("replicas"), line.field("service"), line.field("last_failure"))
	case "deadline":
		return fmt.Sprintf("its time was over after %s sends, to replicas %s, of which %s may have run; the last failure: %s", line.field("sends"), line.field("tried"), line.field("may_have_run"), orNone(line.field("last_failure")))
	case "cancelled":
		return "the caller disconnected"
	case "draining":
		return fmt.Sprintf("%s was stopping; the request was not sent", line.Process)
	default:
		return fmt.Sprintf("a replica of service %s failed after it may have run, tried were %s: %s", line.field("service"), line.field("tried"), orNone(line.field("last_failure")))
	}
}

func orNone(text string) string {
	if text == "" {
		return "none, the replica was silent"
	}
	return text
}

func lastEvent(lines []Line, event string) *Line {
	for i := range slices.Backward(lines) {
		if lines[i].Event == event {
			return &lines[i]
		}
	}
	return nil
}
