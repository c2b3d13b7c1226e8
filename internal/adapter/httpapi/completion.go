package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// completionBody is api.Completion with the fields of the customary interface
// that would change the answer's form.
type completionBody struct {
	api.Completion
	Count  *int `json:"n"`
	BestOf *int `json:"best_of"`
	Echo   bool `json:"echo"`
}

// completion serves POST /v1/completions, streamed or whole.
func (s *Server) completion(writer http.ResponseWriter, request *http.Request) {
	id := s.backend.NewRequestID()
	writer.Header().Set(api.HeaderRequestID, string(id))
	s.markConfirmation(writer)
	asked, body, refusal := s.completionRequest(writer, request)
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
	generate := generateRequest(id, body, asked)
	ended := s.measure(generate.Pool)
	ctx, cancel := asked.limit(request.Context())
	defer cancel()
	answer := newCompletionAnswer(writer, generate, body.Stream, s.limits.TextBytes)
	_, failure := await(ctx, s, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.backend.Generate(ctx, generate, answer.receive)
	})
	failure = answer.end(failure)
	ended(failure)
	if failure != nil && !answer.broken() {
		s.fail(writer, failure)
	}
	if answer.broken() {
		// The stream's missing end must show, also to a client that looks
		// for no error event.
		panic(http.ErrAbortHandler)
	}
}

// completionTerms are a completion's checked terms with the caller.
type completionTerms struct {
	terms
	tenant port.TenantName
}

func (s *Server) completionRequest(writer http.ResponseWriter, request *http.Request) (completionTerms, api.Completion, *port.Error) {
	var none completionTerms
	if refusal := s.refuseWhileDraining(); refusal != nil {
		return none, api.Completion{}, refusal
	}
	from, refusal := s.authorize(request)
	if refusal != nil {
		return none, api.Completion{}, refusal
	}
	asked, refusal := readTerms(request, time.Now())
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
	if refusal := checkCompletion(&body, asked); refusal != nil {
		return none, api.Completion{}, refusal
	}
	return completionTerms{asked, from.tenant}, body.Completion, nil
}

// checkCompletion refuses what a node does not offer to callers.
func checkCompletion(body *completionBody, asked terms) *port.Error {
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
		return port.InvalidField("kv_handle", body.KVHandle, "nothing: nodes choose it")
	case body.Count != nil && *body.Count != 1:
		return port.InvalidField("n", formatInt(int64(*body.Count)), "1")
	case body.BestOf != nil && *body.BestOf != 1:
		return port.InvalidField("best_of", formatInt(int64(*body.BestOf)), "1")
	case body.Echo:
		return port.InvalidField("echo", "true", "false")
	case asked.key != "":
		return port.InvalidField(api.HeaderRequestKey, asked.key, "nothing: completions are not remembered by key")
	default:
		return nil
	}
}

func generateRequest(id port.RequestID, body api.Completion, asked completionTerms) port.GenerateRequest {
	priority := asked.priority
	if body.Priority != 0 {
		priority = port.Priority(body.Priority)
	}
	return port.GenerateRequest{
		ID:           id,
		Pool:         port.PoolName(body.Model),
		Tenant:       asked.tenant,
		Prompt:       body.Prompt,
		MaxTokens:    body.MaxTokens,
		Priority:     priority,
		Seed:         body.Seed,
		Adapter:      body.Adapter,
		Resume:       body.ResumeText,
		ResumeTokens: body.ResumeTokens,
		MinVersion:   port.WeightVersion(body.MinVersion),
		Safe:         asked.safe,
	}
}
