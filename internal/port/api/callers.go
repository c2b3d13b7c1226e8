package api

// Headers that loomgrade reads and writes.
const (
	// HeaderRequestID is loomgrade's id of a request, in calls to back ends and in
	// responses to callers.
	HeaderRequestID = "X-Request-Id"
	// HeaderRequestKey is the caller's idempotency key. A repeated request with the same
	// key joins the first attempt or returns its result.
	HeaderRequestKey = "Idempotency-Key"
	// HeaderSafe is "true" or "false": whether a request may run more than once. Without
	// it GET, HEAD, PUT and DELETE are safe and POST is not.
	HeaderSafe = "X-Safe-To-Repeat"
	// HeaderVerdict is the verdict of an error.
	HeaderVerdict = "X-Verdict"
	// HeaderUnconfirmed marks a response sent while the node's configuration lease was
	// expired.
	HeaderUnconfirmed = "X-Configuration-Unconfirmed"
	// HeaderCluster is the id of the cluster that a request is for; a node of another
	// cluster rejects the request. Every response has that of its node.
	HeaderCluster = "X-Cluster"
	// HeaderDeadline is the remaining time until the deadline, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPriority is the request's priority, an integer.
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

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and whether the request may have run.
type ErrorDetail struct {
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	Message      string `json:"message"`
	Field        string `json:"field,omitempty"`
	Value        string `json:"value,omitempty"`
	Allowed      string `json:"allowed,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}
