package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	maxResponseBytes = 64 << 20
	maxEventBytes    = 1 << 20
	streamEnd        = "[DONE]"
	streamError      = "event: error"
)

// errTruncated is recorded for an answer that ended early.
var errTruncated = errors.New("answer ended before its end marker")

// call makes one call, including retries, and records every attempt.
func (g *generator) call(ctx context.Context, plan plannedCall, arrived time.Time) {
	for attempt := 0; ; attempt++ {
		index, target := g.targets.pick()
		observed := g.attempt(ctx, plan, target)
		code := port.Code(observed.Detail)
		if observed.Outcome == audit.OutcomeNotRun && (code == port.CodeDraining || code == port.CodeMisdirected || code == codeUnreachable) {
			g.targets.backOff(index)
		}
		g.result.add(plan.class.Name, observed)
		unknown := observed.Outcome == audit.OutcomeLost || observed.Outcome == audit.OutcomeMayHaveRun
		if !unknown || attempt >= plan.class.MaxRetries || ctx.Err() != nil {
			g.result.finish(plan.class.Name, observed.Outcome, time.Since(arrived))
			return
		}
	}
}

// codeUnreachable marks attempts that could not connect.
const codeUnreachable port.Code = "unreached"

// attempt sends a call once and returns the outcome its caller received.
func (g *generator) attempt(ctx context.Context, plan plannedCall, target string) audit.Call {
	ctx, cancel := context.WithTimeout(ctx, plan.class.Timeout)
	defer cancel()
	observed := audit.Call{
		Class: plan.class.Name, Target: strings.TrimPrefix(target, "http://"), Key: plan.key,
		Unsafe: plan.class.Unsafe, StartedAt: unixNow(), Outcome: audit.OutcomeNotRun,
	}
	if plan.class.Method == "" {
		observed.Key = audit.PromptKey(plan.prompt())
	}
	request, err := plan.request(ctx, target)
	if err != nil {
		observed.Detail = err.Error()
		return withEnd(observed)
	}
	response, err := g.config.Client.Do(request)
	if err != nil {
		observed.Outcome, observed.Detail = transportOutcome(err)
		return withEnd(observed)
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxResponseBytes)
	switch {
	case response.StatusCode/100 != 2:
		readError(&observed, response, body)
	case plan.class.Method == "":
		plan.readCompletion(&observed, body)
	default:
		plan.readAnswer(&observed, body)
	}
	return withEnd(observed)
}

// withEnd sets the end time of an attempt.
func withEnd(observed audit.Call) audit.Call {
	observed.EndedAt = unixNow()
	return observed
}

func unixNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// transportOutcome distinguishes a failure to connect from a broken connection.
func transportOutcome(err error) (audit.Outcome, string) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return audit.OutcomeNotRun, string(codeUnreachable)
	}
	return audit.OutcomeLost, err.Error()
}

// prompt returns the prompt of a completion, which is unique to the call.
func (p plannedCall) prompt() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s asks. ", p.class.Name)
	for text.Len() < p.class.PromptTokens*engine.BytesPerToken {
		text.WriteString("Describe what is to be seen. ")
	}
	return text.String() + p.key
}

func (p plannedCall) request(ctx context.Context, target string) (*http.Request, error) {
	method, address, body := p.class.Method, "", bytes.Repeat([]byte{'x'}, p.class.BodyBytes)
	if method == "" {
		method, address = http.MethodPost, target+api.PathCompletions
		encoded, err := json.Marshal(api.Completion{
			Model: p.class.Pool, Prompt: p.prompt(), MaxTokens: p.class.MaxTokens, Stream: true,
			Priority: p.class.Priority, Seed: p.seed,
		})
		if err != nil {
			return nil, err
		}
		body = encoded
	} else {
		query := url.Values{standin.QueryCall: {p.key}}
		address = target + api.PathApplication + p.class.Pool + p.class.Path + "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, standin.ReadOnce{Reader: bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(api.HeaderSafe, strconv.FormatBool(!p.class.Unsafe))
	request.Header.Set(api.HeaderPriority, strconv.Itoa(p.class.Priority))
	request.Header.Set(api.HeaderDeadline, strconv.FormatInt(p.class.Timeout.Milliseconds(), 10))
	if p.class.MaxRetries > 0 {
		request.Header.Set(api.HeaderRequestKey, p.key)
	}
	if p.class.Cluster != "" {
		request.Header.Set(api.HeaderCluster, p.class.Cluster)
	}
	if p.class.Token != "" {
		request.Header.Set("Authorization", "Bearer "+p.class.Token)
	}
	return request, nil
}

// readError records an error response.
func readError(observed *audit.Call, response *http.Response, body io.Reader) {
	var fault api.ErrorBody
	_ = json.NewDecoder(body).Decode(&fault) // the verdict is in the header
	observed.Detail = fault.Error.Code
	if observed.Detail == "" {
		observed.Detail = "status " + strconv.Itoa(response.StatusCode)
	}
	observed.Outcome = outcomeOf(response.Header.Get(api.HeaderVerdict))
}

func outcomeOf(verdict string) audit.Outcome {
	switch port.ParseVerdict(verdict) {
	case port.NotRun:
		return audit.OutcomeNotRun
	case port.Ran:
		return audit.OutcomeRan
	default:
		return audit.OutcomeMayHaveRun
	}
}

// readAnswer records the answer of an application call.
func (p plannedCall) readAnswer(observed *audit.Call, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		observed.Outcome, observed.Detail = audit.OutcomeLost, err.Error()
		return
	}
	observed.Outcome = audit.OutcomeAnswered
	var answer standin.ApplicationAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		observed.Detail = err.Error()
		return
	}
	observed.AnswerKey, observed.Complete = answer.Call, answer.CompleteFor(p.key)
	observed.Detail = "back end " + answer.BackEnd
}

// readCompletion records a streamed completion.
func (p plannedCall) readCompletion(observed *audit.Call, body io.Reader) {
	var text strings.Builder
	finish, failed := "", false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(scanCompleteLines)
	for lines.Scan() {
		failed = failed || lines.Text() == streamError
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case failed:
			observed.Outcome, observed.Detail = parseStreamError(data)
			return
		case data == streamEnd:
			p.recordCompletion(observed, text.String(), finish)
			return
		default:
			reason, err := appendChunk(observed, &text, data)
			if err != nil {
				observed.Outcome, observed.Detail = audit.OutcomeAnswered, err.Error()
				return
			}
			finish = reason
		}
	}
	observed.Outcome, observed.Detail = audit.OutcomeLost, errTruncated.Error()
}

// scanCompleteLines is bufio.ScanLines without an unterminated last line, which is the
// rest of an event whose stream was cut off.
func scanCompleteLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// appendChunk appends a chunk's text and spans.
func appendChunk(observed *audit.Call, text *strings.Builder, data string) (finish string, err error) {
	var chunk api.CompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", err
	}
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Text)
		finish = choice.FinishReason
	}
	for _, span := range chunk.Spans {
		observed.Spans = port.AppendTokens(observed.Spans, span.Version, span.Tokens)
	}
	return finish, nil
}

// recordCompletion records a finished completion and whether it answers this call.
func (p plannedCall) recordCompletion(observed *audit.Call, text, finish string) {
	observed.Outcome, observed.Text, observed.Complete = audit.OutcomeAnswered, text, finish != ""
	if engine.SameContent(text, engine.ContentKey(p.prompt(), p.seed)) {
		observed.AnswerKey = observed.Key
	}
}

// parseStreamError returns the outcome of an error event in a stream.
func parseStreamError(data string) (audit.Outcome, string) {
	var fault api.ErrorBody
	if err := json.Unmarshal([]byte(data), &fault); err != nil {
		return audit.OutcomeLost, err.Error()
	}
	return outcomeOf(fault.Error.Verdict), fault.Error.Code
}
