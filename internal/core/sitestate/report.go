package sitestate

// ReportField names the invalid part of a replica's report. The values are few, so that
// rejections can be counted by field.
type ReportField string

// Fields of a report.
const (
	FieldBody      ReportField = "body"
	FieldName      ReportField = "name"
	FieldService   ReportField = "service"
	FieldAddress   ReportField = "address"
	FieldZone      ReportField = "zone"
	FieldSlots     ReportField = "slots"
	FieldState     ReportField = "state"
	FieldSequence  ReportField = "sequence"
	FieldSoftware  ReportField = "software"
	FieldWarmup    ReportField = "warmup"
	FieldModels    ReportField = "models"
	FieldStartedAt ReportField = "born"
)

// ReportError is the error for an invalid report: a replica did not send it, or it was
// corrupted in transit.
type ReportError struct {
	Field  ReportField
	Reason string
}

// Error implements error.
func (e *ReportError) Error() string { return string(e.Field) + ": " + e.Reason }
