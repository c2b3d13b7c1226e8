package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// completionBody is api.Completion with the fields of the OpenAI interface that
// would change the shape of the response.
type completionBody struct {
	api.Completion
	Count  *int `json:"n"`
	BestOf *int `json:"best_of"`
	Echo   bool `json:"echo"`
}

// completion serves POST /v1/completions, streamed or as one response.
func (s *Server) completion(writer http.ResponseWriter, request *http.Request) {
	id := s.backend.NewRequestID()
	writer.Header().Set(api.HeaderRequestID, string(id))
	s.markConfirmation(writer)
	options, body, refusal := s.completionRequest(writer, request)
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	release, refusal := acquire(s.streams)
	if refusal != nil {
		s.fail(writer, refusal)
		return
	}
	defer release()
	generate := generateRequest(id, body, options)
	recordEnd := s.measure(generate.Pool)
	ctx, cancel := options.withDeadline(request.Context())
	defer cancel()
	answer := newCompletionAnswer(writer, generate, body.Stream, s.limits.TextBytes)
	_, failure := await(ctx, s, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.backend.Generate(ctx, generate, answer.receive)
	})
	failure = answer.end(failure)
	recordEnd(failure)
	if failure != nil && !answer.incomplete() {
		s.fail(writer, failure)
	}
	if answer.incomplete() {
		// Aborts the connection, so that clients that ignore error events see that
		// the stream is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// completionOptions are a completion's options and its tenant.
type completionOptions struct {
	requestOptions
	tenant port.TenantName
}

func (s *Server) completionRequest(writer http.ResponseWriter, request *http.Request) (completionOptions, api.Completion, *port.Error) {
	var none completionOptions
	if refusal := s.refuseWhileDraining(); refusal != nil {
		return none, api.Completion{}, refusal
	}
	from, refusal := s.authorize(request)
	if refusal != nil {
		return none, api.Completion{}, refusal
	}
	options, refusal := readOptions(request, time.Now())
	if refusal != nil {
		return none, api.Completion{}, refusal
	}
	encoded, refusal := s.readBody(writer, request, s.limits.BodyBytes)
	if refusal != nil {
		return none, api.Completion{}, refusal
	}
	var body completionBody
	if err := json.Unmarshal(encoded, &body); err != nil {
		return none, api.Completion{}, malformedBody(err)
	}
	if refusal := checkCompletion(&body, options); refusal != nil {
		return none, api.Completion{}, refusal
	}
	return completionOptions{options, from.tenant}, body.Completion, nil
}

// checkCompletion rejects options that nodes don't offer to callers.
func checkCompletion(body *completionBody, options requestOptions) *port.Error {
	switch {
	case body.Model == "" || len(body.Model) > maxKeyBytes:
		return port.InvalidField("model", body.Model[:min(len(body.Model), maxKeyBytes)], "the name of a generation pool")
	case body.MaxTokens < 0:
		return port.InvalidField("max_tokens", formatInt(int64(body.MaxTokens)), "0 or more")
	case body.Priority < -maxPriority || body.Priority > maxPriority:
		return port.InvalidField("priority", formatInt(int64(body.Priority)), "a whole number from -1000 to 1000")
	case body.ResumeTokens < 0:
		return port.InvalidField("resume_tokens", formatInt(int64(body.ResumeTokens)), "0 or more")
	case body.KVHandle != "":
		return port.InvalidField("kv_handle", body.KVHandle, "empty: set by nodes only")
	case body.Count != nil && *body.Count != 1:
		return port.InvalidField("n", formatInt(int64(*body.Count)), "1")
	case body.BestOf != nil && *body.BestOf != 1:
		return port.InvalidField("best_of", formatInt(int64(*body.BestOf)), "1")
	case body.Echo:
		return port.InvalidField("echo", "true", "false")
	case options.key != "":
		return port.InvalidField(api.HeaderRequestKey, options.key, "empty: results of completions are not cached")
	default:
		return nil
	}
}

func generateRequest(id port.RequestID, body api.Completion, options completionOptions) port.GenerateRequest {
	priority := options.priority
	if body.Priority != 0 {
		priority = port.Priority(body.Priority)
	}
	return port.GenerateRequest{
		ID:           id,
		Pool:         port.PoolName(body.Model),
		Tenant:       options.tenant,
		Prompt:       body.Prompt,
		MaxTokens:    body.MaxTokens,
		Priority:     priority,
		Seed:         body.Seed,
		Adapter:      body.Adapter,
		Resume:       body.ResumeText,
		ResumeTokens: body.ResumeTokens,
		MinVersion:   port.WeightVersion(body.MinVersion),
		Safe:         options.safe,
	}
}
