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
	maxAnswer   = 64 << 20
	maxEvent    = 1 << 20
	streamEnd   = "[DONE]"
	streamError = "event: error"
)

// errCut says that an answer ended early.
var errCut = errors.New("answer ended before its end marker")

// call makes one call with its resends and records every attempt.
func (g *generator) call(ctx context.Context, plan planned, arrived time.Time) {
	for attempt := 0; ; attempt++ {
		index, target := g.targets.pick()
		seen := g.attempt(ctx, plan, target)
		code := port.Code(seen.Detail)
		if seen.Outcome == audit.OutcomeNotRun && (code == port.CodeDraining || code == codeUnreached) {
			g.targets.avoid(index)
		}
		g.result.add(plan.class.Name, seen)
		unknown := seen.Outcome == audit.OutcomeLost || seen.Outcome == audit.OutcomeMayHaveRun
		if !unknown || attempt >= plan.class.MaxRetries || ctx.Err() != nil {
			g.result.finish(plan.class.Name, seen.Outcome, time.Since(arrived))
			return
		}
	}
}

// codeUnreached marks attempts whose connection was never made.
const codeUnreached port.Code = "unreached"

// attempt sends a call once and says what its caller was told.
func (g *generator) attempt(ctx context.Context, plan planned, target string) audit.Call {
	ctx, cancel := context.WithTimeout(ctx, plan.class.Timeout)
	defer cancel()
	seen := audit.Call{
		Class: plan.class.Name, Target: strings.TrimPrefix(target, "http://"), Key: plan.key,
		Unsafe: plan.class.Unsafe, StartedAt: now(), Outcome: audit.OutcomeNotRun,
	}
	if plan.class.Method == "" {
		seen.Key = audit.PromptKey(plan.prompt())
	}
	request, err := plan.request(ctx, target)
	if err != nil {
		seen.Detail = err.Error()
		return finished(seen)
	}
	response, err := g.config.Client.Do(request)
	if err != nil {
		seen.Outcome, seen.Detail = transportOutcome(err)
		return finished(seen)
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxAnswer)
	switch {
	case response.StatusCode/100 != 2:
		readRefusal(&seen, response, body)
	case plan.class.Method == "":
		plan.readCompletion(&seen, body)
	default:
		plan.readAnswer(&seen, body)
	}
	return finished(seen)
}

// finished sets the end of an attempt.
func finished(seen audit.Call) audit.Call {
	seen.EndedAt = now()
	return seen
}

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// transportOutcome tells a connection that was never made from one that broke.
func transportOutcome(err error) (audit.Outcome, string) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return audit.OutcomeNotRun, string(codeUnreached)
	}
	return audit.OutcomeLost, err.Error()
}

// prompt returns the prompt of a completion, which belongs to this call alone.
func (p planned) prompt() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s asks. ", p.class.Name)
	for text.Len() < p.class.PromptTokens*engine.BytesPerToken {
		text.WriteString("Describe what is to be seen. ")
	}
	return text.String() + p.key
}

func (p planned) request(ctx context.Context, target string) (*http.Request, error) {
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
	if p.class.Token != "" {
		request.Header.Set("Authorization", "Bearer "+p.class.Token)
	}
	return request, nil
}

// readRefusal takes in an error answer.
func readRefusal(seen *audit.Call, response *http.Response, body io.Reader) {
	var fault api.ErrorBody
	_ = json.NewDecoder(body).Decode(&fault) // the header has the verdict
	seen.Detail = fault.Error.Code
	if seen.Detail == "" {
		seen.Detail = "status " + strconv.Itoa(response.StatusCode)
	}
	seen.Outcome = outcomeOf(response.Header.Get(api.HeaderVerdict))
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

// readAnswer takes in the answer of an application call.
func (p planned) readAnswer(seen *audit.Call, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		seen.Outcome, seen.Detail = audit.OutcomeLost, err.Error()
		return
	}
	seen.Outcome = audit.OutcomeAnswered
	var answer standin.ApplicationAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		seen.Detail = err.Error()
		return
	}
	seen.AnswerKey, seen.Complete = answer.Call, answer.CompleteFor(p.key)
	seen.Detail = "back end " + answer.BackEnd
}

// readCompletion takes in a streamed completion.
func (p planned) readCompletion(seen *audit.Call, body io.Reader) {
	var text strings.Builder
	finish, failed := "", false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	lines.Split(scanEndedLines)
	for lines.Scan() {
		failed = failed || lines.Text() == streamError
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case failed:
			seen.Outcome, seen.Detail = streamFault(data)
			return
		case data == streamEnd:
			p.judge(seen, text.String(), finish)
			return
		default:
			reason, err := takeChunk(seen, &text, data)
			if err != nil {
				seen.Outcome, seen.Detail = audit.OutcomeAnswered, err.Error()
				return
			}
			finish = reason
		}
	}
	seen.Outcome, seen.Detail = audit.OutcomeLost, errCut.Error()
}

// scanEndedLines gives lines as bufio.ScanLines does, but for a last one without its end:
// that is what is left of an event whose stream was cut off.
func scanEndedLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// takeChunk adds a chunk's text and spans.
func takeChunk(seen *audit.Call, text *strings.Builder, data string) (finish string, err error) {
	var chunk api.CompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", err
	}
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Text)
		finish = choice.FinishReason
	}
	for _, span := range chunk.Spans {
		seen.Spans = port.AppendTokens(seen.Spans, span.Version, span.Tokens)
	}
	return finish, nil
}

// judge compares a whole completion with what was asked for.
func (p planned) judge(seen *audit.Call, text, finish string) {
	seen.Outcome, seen.Text, seen.Complete = audit.OutcomeAnswered, text, finish != ""
	if engine.SameContent(text, engine.ContentKey(p.prompt(), p.seed)) {
		seen.AnswerKey = seen.Key
	}
}

// streamFault takes in an error that came inside a stream.
func streamFault(data string) (audit.Outcome, string) {
	var fault api.ErrorBody
	if err := json.Unmarshal([]byte(data), &fault); err != nil {
		return audit.OutcomeLost, err.Error()
	}
	return outcomeOf(fault.Error.Verdict), fault.Error.Code
}
