package sitestate

// ReportField is the part of a replica's report that is at fault. There are few, so that
// refusals can be counted by them.
type ReportField string

// Parts of reports.
const (
	FieldBody     ReportField = "body"
	FieldName     ReportField = "name"
	FieldService  ReportField = "service"
	FieldAddress  ReportField = "address"
	FieldZone     ReportField = "zone"
	FieldSlots    ReportField = "slots"
	FieldState    ReportField = "state"
	FieldSequence ReportField = "sequence"
	FieldSoftware ReportField = "software"
	FieldWarmup   ReportField = "warmup"
	FieldModels   ReportField = "models"
	FieldBorn     ReportField = "born"
)

// ReportError says why a report names no replica to use: somebody else wrote it, or it
// was spoiled on its way.
type ReportError struct {
	Field  ReportField
	Reason string
}

// Error implements error.
func (e *ReportError) Error() string { return string(e.Field) + ": " + e.Reason }
