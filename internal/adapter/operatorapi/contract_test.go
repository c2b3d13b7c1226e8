package operatorapi

import (
	"net/http"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestServerKeepsContract sends faulty requests to endpoints that change the
// configuration.
func TestServerKeepsContract(t *testing.T) {
	machineList := "http://127.0.0.1:8000"
	change := marshalChange(t, ConfigChange{ExpectedRevision: revision(1), ChangeID: changeID(2), Edits: []port.Edit{{MachineList: &machineList}}})
	drain := `{"expected_revision":1,"change_id":"` + changeID(3) + `"}`
	calls := map[string]struct{ method, path, body string }{
		"configuration": {http.MethodPut, PathConfig, change},
		"drain":         {http.MethodPost, "/v1/replicas/page-1/drain", drain},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			backend := newSeededBackend(t)
			address := serveBackend(t, backend, Limits{})
			contracttest.RunServer(t, contracttest.Endpoint{
				Address: address, Method: call.method, Path: call.path, Body: call.body,
				Header: http.Header{"Authorization": {"Bearer " + testToken}}, BodyLimit: MaxBodyBytes,
				Ran: func() int { return int(backend.revision()) },
			})
		})
	}
}
