package api

// Headers that loomgrade reads and writes.
const (
	// HeaderRequestID carries loomgrade's id of a request, on calls to back
	// ends and on answers to callers.
	HeaderRequestID = "X-Request-Id"
	// HeaderRequestKey is the caller's own key; a resend with the same key
	// joins the first attempt or gets its outcome.
	HeaderRequestKey = "Idempotency-Key"
	// HeaderSafe says "true" or "false" whether a request may run more than
	// once; without it GET, HEAD, PUT and DELETE are safe and POST is not.
	HeaderSafe = "X-Safe-To-Repeat"
	// HeaderVerdict carries the verdict on every error.
	HeaderVerdict = "X-Verdict"
	// HeaderUnconfirmed marks an answer given while the node's configuration
	// lease had run out.
	HeaderUnconfirmed = "X-Configuration-Unconfirmed"
	// HeaderDeadline is what is left of the deadline, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPriority is the request's priority, a whole number.
	HeaderPriority = "X-Priority"
)

// Paths that a node serves to callers and trainers. Application calls go to
// PathApplication + POOL + "/" + REST and reach the back end as "/" + REST.
const (
	PathApplication = "/app/"
	PathCompletions = "/v1/completions"
	PathConsumers   = "/v1/pools/{pool}/consumers"
	PathBatch       = "/v1/pools/{pool}/batches/{number}"
	PathWeights     = "/v1/pools/{pool}/weights"
	PathExplain     = "/v1/explain/{id}"
	PathNodeStatus  = "/v1/status"
	PathHealth      = "/healthz"
	PathReady       = "/readyz"
	PathMetrics     = "/metrics"
)

// ErrorBody is the JSON body of every error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and whether the request may have run.
type ErrorDetail struct {
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	Message      string `json:"message"`
	Field        string `json:"field,omitempty"`
	Value        string `json:"value,omitempty"`
	Allowed      string `json:"allowed,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}
