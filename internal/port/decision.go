package port

// DecisionKind is the kind of a decision.
type DecisionKind string

// The kinds of recorded decisions.
const (
	DecisionPlaced    DecisionKind = "placed"
	DecisionHeld      DecisionKind = "held"
	DecisionRetried   DecisionKind = "retried"
	DecisionRefused   DecisionKind = "refused"
	DecisionAnswered  DecisionKind = "answered"
	DecisionEjected   DecisionKind = "ejected"
	DecisionReturned  DecisionKind = "returned"
	DecisionStale     DecisionKind = "dropped_stale"
	DecisionCommitted DecisionKind = "committed"
	DecisionDelivered DecisionKind = "delivered"
	DecisionVoided    DecisionKind = "voided"
	DecisionOrdered   DecisionKind = "ordered"
)

// Decision records one decision. Subject is the id that an operator looks up: of a
// request, sample, batch, replica or revision.
type Decision struct {
	Kind    DecisionKind `cbor:"1,keyasint" json:"kind"`
	Subject string       `cbor:"2,keyasint" json:"subject"`
	// Time is in Unix milliseconds.
	Time     int64     `cbor:"3,keyasint" json:"time_ms"`
	Node     NodeID    `cbor:"4,keyasint" json:"node"`
	Pool     PoolName  `cbor:"5,keyasint,omitempty" json:"pool,omitempty"`
	Replica  ReplicaID `cbor:"6,keyasint,omitempty" json:"replica,omitempty"`
	Revision Revision  `cbor:"7,keyasint,omitempty" json:"revision,omitempty"`
	Attempt  int       `cbor:"8,keyasint,omitempty" json:"attempt,omitempty"`
	// Considered counts the candidates, Filtered counts those that each filter dropped,
	// and Scores holds the best scores.
	Considered int            `cbor:"9,keyasint,omitempty" json:"considered,omitempty"`
	Filtered   []FilterCount  `cbor:"10,keyasint,omitempty" json:"filtered,omitempty"`
	Scores     []ReplicaScore `cbor:"11,keyasint,omitempty" json:"scores,omitempty"`
	Verdict    Verdict        `cbor:"12,keyasint,omitempty" json:"verdict,omitempty"`
	Code       Code           `cbor:"13,keyasint,omitempty" json:"code,omitempty"`
	Detail     string         `cbor:"14,keyasint,omitempty" json:"detail,omitempty"`
	Spans      []Span         `cbor:"15,keyasint,omitempty" json:"spans,omitempty"`
	Related    []string       `cbor:"16,keyasint,omitempty" json:"related,omitempty"`
	Version    WeightVersion  `cbor:"17,keyasint,omitempty" json:"version,omitempty"`
}

// FilterCount is the number of replicas that a filter dropped.
type FilterCount struct {
	Filter string `cbor:"1,keyasint" json:"filter"`
	Count  int    `cbor:"2,keyasint" json:"count"`
}

// ReplicaScore is a candidate's total score with its parts.
type ReplicaScore struct {
	Replica ReplicaID   `cbor:"1,keyasint" json:"replica"`
	Total   float64     `cbor:"2,keyasint" json:"total"`
	Parts   []ScorePart `cbor:"3,keyasint,omitempty" json:"parts,omitempty"`
}

// ScorePart is the weighted score of one scorer.
type ScorePart struct {
	Scorer string  `cbor:"1,keyasint" json:"scorer"`
	Value  float64 `cbor:"2,keyasint" json:"value"`
}
