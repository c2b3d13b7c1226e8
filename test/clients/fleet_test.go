package clients

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	// fleetMegabytes is the memory of the machines of a fleet.
	fleetMegabytes = 284
	operatorToken  = "operator-of-the-crowds"
	fleetPool      = "pages"

	memberName      = "control-1"
	nodeName        = "node-1"
	applicationName = "application-1"
)

// startFleet starts a control member, a node and the stand-in of an application server.
func startFleet(t *testing.T) *site {
	t.Helper()
	build(t)
	s := &site{t: t, processes: map[string]*process{}, addresses: map[string]string{}, megabytes: fleetMegabytes, stop: func() {}}
	subnet := 1 + rand.IntN(250)
	for i, name := range []string{memberName, nodeName, applicationName} {
		s.addresses[name] = fmt.Sprintf("127.74.%d.%d", subnet, i+1)
	}
	s.ports = s.pickPorts()
	t.Cleanup(s.close)
	root := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(root, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	peerToken, token := write("peer.token", "peers-of-the-crowds\n"), write("operator.token", operatorToken+"\n")
	common := func(name string) string {
		return fmt.Sprintf("cluster: crowds\npeer_token_file: %s\noperator_token_file: %s\nlog:\n  file: %s\n", peerToken, token, filepath.Join(root, name+".ring"))
	}
	peers := s.address(memberName, s.ports.peer)
	start := func(name, program string, arguments ...string) {
		p := &process{name: name, program: program, arguments: arguments, logPath: filepath.Join(root, name+".log")}
		s.processes[name] = p
		p.start(t)
	}
	start(memberName, "loomgrade", "control", write("control.yaml", common(memberName)+fmt.Sprintf(
		"control:\n  id: 1\n  data_folder: %s\n  peer_listen: %s\n  operator_listen: %s\n  members:\n    - id: 1\n      address: %s\n",
		filepath.Join(root, "member"), peers, s.address(memberName, s.ports.control), peers)))
	start(nodeName, "loomgrade", "node", write("node.yaml", common(nodeName)+fmt.Sprintf(
		"node:\n  id: %s\n  zone: z\n  http_listen: %s\n  peer_listen: %s\n  control_members: [%s]\n  data_folder: %s\n",
		nodeName, s.address(nodeName, s.ports.caller), s.address(nodeName, s.ports.peer), peers, filepath.Join(root, "node"))))
	start(applicationName, "loomlab", "stand-in", "app", "--listen", s.address(applicationName, s.ports.caller), "--service-time", "5ms")
	s.configureFleet(token)
	if err := eventually(s.checkNode); err != nil {
		t.Fatal(err)
	}
	return s
}

// configureFleet sets a configuration with the application server.
func (s *site) configureFleet(token string) {
	configuration := port.Configuration{
		Pools: []port.Pool{{
			Name: fleetPool, Kind: port.PoolApplication,
			Admission: port.Admission{MinInflight: 1, MaxInflight: 32, QueueLength: 512, DefaultDeadline: port.Duration(5 * time.Second)},
			Retry:     port.Retry{MaxAttempts: 3, BudgetRatio: 0.2, BaseBackoff: port.Duration(20 * time.Millisecond), MaxBackoff: port.Duration(time.Second)},
			Ejection:  port.Ejection{ConsecutiveFailures: 5, LatencyFactor: 4, BaseDuration: port.Duration(2 * time.Second), MaxShare: 0.5},
		}},
		Replicas: []port.Replica{{ID: applicationName, Pool: fleetPool, Zone: "z", Address: s.address(applicationName, s.ports.caller), State: port.ReplicaActive}},
	}
	document, err := json.Marshal(configuration)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(filepath.Dir(token), "configuration.json")
	if err := os.WriteFile(path, document, 0o600); err != nil {
		s.t.Fatal(err)
	}
	err = eventually(func() error {
		return runProgram("config", "set", path, "--expected", "0", "--token-file", token, "--server", s.address(memberName, s.ports.control))
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

// checkNode sends one ordinary request to the application server through the node.
func (s *site) checkNode() error {
	_, err := s.call(http.MethodGet, s.address(nodeName, s.ports.caller), api.PathApplication+fleetPool+"/x", s.nextID("ordinary"), nil, http.StatusOK)
	return err
}

// checkMember asks the control member whether it is ready.
func (s *site) checkMember() error {
	_, err := s.call(http.MethodGet, s.address(memberName, s.ports.control), api.PathReady, "", nil, http.StatusOK)
	return err
}

// fleetDoors returns the listeners of a fleet.
func (s *site) fleetDoors() []door {
	return []door{
		{"callers of a node", nodeName, s.address(nodeName, s.ports.caller), []target{
			{"POST", api.PathApplication + fleetPool + "/x"}, {"POST", api.PathCompletions}, {"POST", "/v1/pools/pages/consumers"},
			{"GET", api.PathHealth}, {"GET", api.PathReady}, {"GET", "/nothing"},
		}, s.checkNode},
		{"operator interface", memberName, s.address(memberName, s.ports.control), []target{
			{"PUT", operatorapi.PathConfig}, {"GET", operatorapi.PathConfig}, {"GET", api.PathReady}, {"GET", api.PathMetrics}, {"GET", "/nothing"},
		}, s.checkMember},
		{"stand-in", applicationName, s.address(applicationName, s.ports.caller), []target{{"POST", "/x"}, {"GET", "/observations"}}, s.checkNode},
		{name: "peers of a node", process: nodeName, address: s.address(nodeName, s.ports.peer), check: s.checkNode},
		{name: "peers of a member", process: memberName, address: s.address(memberName, s.ports.peer), check: s.checkMember},
	}
}

// TestFleetCrowds plays the kinds of clients at the listeners of a control member, a node and a stand-in.
// Clients of the listeners for peers do not know the token.
func TestFleetCrowds(t *testing.T) {
	build(t)
	strangers := peerKinds()[:strangerKinds]
	playCrowds(t, startFleet, (*site).fleetDoors, func(d door) []kind {
		if len(d.targets) == 0 {
			return strangers
		}
		return httpKinds
	})
}
