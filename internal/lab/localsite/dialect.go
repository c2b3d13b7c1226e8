package localsite

import (
	"encoding/json"
	"net/http"

	"github.com/loomgrade/loomgrade/internal/core/balance"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Headers and paths between the site and the stand-ins.
const (
	headerID        = "Lab-Request-Id"
	headerDeadline  = "Lab-Deadline-Ms"
	headerSignature = "Lab-Seal"
	headerInstance  = "Lab-Instance"
	headerNotRun    = "Lab-Not-Run"
	headerEvent     = "Last-Event-Id"
	headerVersion   = "Lab-Weight-Version"
	headerKey       = "Lab-Key"
	headerTenant    = "Lab-Tenant"
	headerHolder    = "Lab-Holder"
	headerFence     = "Lab-Fence"

	pathOrder  = "/lab/order"
	pathReport = "/lab/report"
	pathUsage  = "/lab/usage"
)

// labDialect encodes the types of the code under test as JSON.
type labDialect struct{}

var _ dialect.Dialect = labDialect{}

// Headers implements dialect.Dialect.
func (labDialect) Headers() dialect.Headers {
	return dialect.Headers{
		RequestID: headerID, Deadline: headerDeadline, Signature: headerSignature, ExpectedInstance: headerInstance,
		NotRun: headerNotRun, LastEventID: headerEvent, WeightVersion: headerVersion,
		Key: headerKey, Tenant: headerTenant, LeaseHolder: headerHolder, FencingToken: headerFence,
	}
}

// DecodeConfiguration implements dialect.Dialect.
func (labDialect) DecodeConfiguration(raw []byte) (*routing.Document, error) {
	document := &routing.Document{}
	return document, json.Unmarshal(raw, document)
}

// JobCost implements dialect.Dialect. No front of the local site reads jobs.
func (labDialect) JobCost([]byte) int64 { return 0 }

// DecodeJob implements dialect.Dialect.
func (labDialect) DecodeJob(body []byte) (jobstate.Submission, error) {
	var submission jobstate.Submission
	if err := json.Unmarshal(body, &submission); err != nil {
		return jobstate.Submission{}, port.NewError(port.NotRun, port.CodeInvalid, "%v", err)
	}
	return submission, nil
}

// ReadLoad implements dialect.Dialect. The stand-ins don't report their load.
func (labDialect) ReadLoad(string) (balance.Load, bool) { return balance.Load{}, false }

// OrderCall implements dialect.Dialect.
func (labDialect) OrderCall(order dialect.Order) (dialect.Call, error) {
	body, err := json.Marshal(order)
	return dialect.Call{Method: http.MethodPost, Path: pathOrder, Body: body}, err
}

// UsageCall implements dialect.Dialect.
func (labDialect) UsageCall(total usage.Total) (dialect.Call, error) {
	body, err := json.Marshal(total)
	return dialect.Call{Method: http.MethodPost, Path: pathUsage, Body: body}, err
}

// ReportCall implements dialect.Dialect.
func (labDialect) ReportCall() dialect.Call {
	return dialect.Call{Method: http.MethodGet, Path: pathReport}
}

// DecodeReport implements dialect.Dialect.
func (labDialect) DecodeReport(body []byte) (dialect.Report, error) {
	var report dialect.Report
	err := json.Unmarshal(body, &report)
	return report, err
}

// modelsAt returns a list of one model at a version.
func modelsAt(model string, version uint64) []sitestate.ModelVersion {
	return []sitestate.ModelVersion{{Name: model, Version: version}}
}
