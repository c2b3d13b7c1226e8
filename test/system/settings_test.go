package system

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// operatorToken is the token of the site's operators.
const operatorToken = "operator-of-the-system-test"

func node(zone string) string { return "node-" + zone }

func (s *site) write(t *testing.T, name, content string) string {
	t.Helper()
	if err := os.WriteFile(s.path(name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return s.path(name)
}

// writeSettings writes the tokens and a settings file for each member and node.
func (s *site) writeSettings(t *testing.T) {
	t.Helper()
	s.write(t, "peer.token", "peers-of-the-system-test\n")
	s.write(t, "operator.token", operatorToken+"\n")
	var members strings.Builder
	var peers []string
	for index := range zones {
		address := s.addresses[member(index+1)]
		peers = append(peers, address)
		fmt.Fprintf(&members, "    - id: %d\n      address: %s\n", index+1, address)
	}
	for index := range zones {
		name := member(index + 1)
		section := fmt.Sprintf("control:\n  id: %d\n  data_folder: %s\n  peer_listen: %s\n  operator_listen: %s\n  members:\n%s",
			index+1, s.path(name), s.addresses[name], s.addresses[name+"/operators"], members.String())
		s.add(name, "loomgrade", "control", s.write(t, name+".yaml", s.commonSettings(name)+section))
	}
	for index, zone := range zones {
		name := node(zone)
		nearest := append(append([]string{}, peers[index:]...), peers[:index]...)
		section := fmt.Sprintf("node:\n  id: %s\n  zone: %s\n  http_listen: %s\n  peer_listen: %s\n  control_members: [%s]\n  data_folder: %s\n",
			name, zone, s.addresses[name], s.addresses[name+"/peers"], strings.Join(nearest, ", "), s.path(name))
		s.add(name, "loomgrade", "node", s.write(t, name+".yaml", s.commonSettings(name)+section))
	}
}

func (s *site) commonSettings(name string) string {
	return fmt.Sprintf("cluster: %s\npeer_token_file: %s\noperator_token_file: %s\nlog:\n  file: %s\n",
		clusterName, s.path("peer.token"), s.path("operator.token"), s.path(name+".ring"))
}

// configure sets the configuration and publishes the first weights.
func (s *site) configure(t *testing.T) {
	t.Helper()
	s.runOperatorCommand(t, nil, "config", "set", s.writeConfiguration(t, s.configuration()), "--expected", "0")
	s.runOperatorCommand(t, nil, "weights", "publish", samplingPool, "1", "--bytes", fmt.Sprint(weightBytes))
}

func (s *site) writeConfiguration(t *testing.T, configuration port.Configuration) string {
	t.Helper()
	document, err := json.Marshal(configuration)
	if err != nil {
		t.Fatal(err)
	}
	return s.write(t, "configuration.json", string(document))
}

// configuration returns the document that the site's operators set.
func (s *site) configuration() port.Configuration {
	captions := pool(samplingPool, port.PoolGeneration, time.Minute)
	captions.Sampling = &port.Sampling{
		Policy: policy.Default, StalenessBound: staleness, BatchSamples: batchSamples, GroupSize: groupSize,
		MaxTokens: 300, BufferBatches: 2,
		PromptSource: s.url(trainer), Scorer: s.url(scorer), WeightStore: s.url(weightStore),
	}
	pages := pool(pagesPool, port.PoolApplication, 5*time.Second)
	pages.Admission.QueueLength = s.queueLength
	configuration := port.Configuration{
		Pools:       []port.Pool{captions, pages},
		MachineList: s.url(machineList),
	}
	for number := range engines {
		configuration.Replicas = append(configuration.Replicas, s.replica(samplingPool, engine(number+1), number))
	}
	for number := range applications {
		configuration.Replicas = append(configuration.Replicas, s.replica(pagesPool, application(number+1), number))
	}
	return configuration
}

func (s *site) replica(pool port.PoolName, name string, number int) port.Replica {
	return port.Replica{
		ID: port.ReplicaID(name), Pool: pool, Zone: port.ZoneName(zones[number%len(zones)]),
		Address: s.addresses[name], State: port.ReplicaActive,
	}
}

func pool(name port.PoolName, kind port.PoolKind, deadline time.Duration) port.Pool {
	return port.Pool{
		Name: name, Kind: kind,
		Admission: port.Admission{MinInflight: 1, MaxInflight: 32, QueueLength: 512, DefaultDeadline: port.Duration(deadline)},
		Retry: port.Retry{
			MaxAttempts: 3, BudgetRatio: 0.2,
			BaseBackoff: port.Duration(20 * time.Millisecond), MaxBackoff: port.Duration(time.Second),
		},
		Ejection: port.Ejection{
			ConsecutiveFailures: 5, LatencyFactor: 4, BaseDuration: port.Duration(2 * time.Second), MaxShare: 0.5,
		},
	}
}
