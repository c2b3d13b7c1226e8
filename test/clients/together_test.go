package clients

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
)

const (
	// kindsAtOnce is the number of kinds of clients that come to each listener at the same time.
	kindsAtOnce = 3
	// acceptedConfigurations configurations of acceptedRoutes short routes are valid and accepted.
	acceptedConfigurations = 25
	acceptedRoutes         = 9000
	// configurationReaders read such a configuration and do not read the answer.
	configurationReaders = 400
)

// observeAll observes every process of a site. The returned function checks what they used.
func (s *site) observeAll(t *testing.T) (finish func()) {
	var observers []*observer
	for _, p := range s.processes {
		observers = append(observers, observe(t, p, s.megabytes))
	}
	return func() {
		for _, o := range observers {
			o.finish(t)
		}
	}
}

// checkAll sends one ordinary request of each kind.
func (s *site) checkAll(t *testing.T) {
	t.Helper()
	for _, check := range []func() error{s.checkRequest, s.checkReady, s.checkConfiguration, s.checkJob, s.checkMetrics(frontName)} {
		if err := eventually(check); err != nil {
			t.Error(err)
		}
	}
}

// TestCrowdsAtAllDoors lets several kinds of clients come to all listeners of a site at the same time.
func TestCrowdsAtAllDoors(t *testing.T) {
	s := startSite(t)
	strangers := peerKinds()
	finish := s.observeAll(t)
	var crowds []*crowd
	for i, d := range append(s.httpDoors(), s.peerDoors()...) {
		kinds := httpKinds
		if len(d.targets) == 0 {
			kinds = strangers
		}
		for j := range kindsAtOnce {
			crowds = append(crowds, startCrowd(d, kinds[(kindsAtOnce*i+5*j)%len(kinds)]))
		}
	}
	for _, c := range crowds {
		c.awaitSent()
	}
	s.checkAll(t)
	for _, c := range crowds {
		c.end()
	}
	s.checkAll(t)
	finish()
}

// acceptedConfiguration returns a configuration of many short routes that is valid.
func acceptedConfiguration(version uint64) []byte {
	var routes bytes.Buffer
	for i := range acceptedRoutes {
		fmt.Fprintf(&routes, `{"name":"%x","hostname":"h","pathPrefix":"/%x/","routeType":"idempotent","timeoutMs":1,"backend":"%s"},`, i, i, plain)
	}
	return bytes.Replace(configuration(version), []byte(`"routes":[`), append([]byte(`"routes":[`), routes.Bytes()...), 1)
}

// TestAcceptedConfigurationsAreBounded sets one large configuration after the other, which every process
// of the site decodes and keeps, and then lets a crowd ask for it.
func TestAcceptedConfigurationsAreBounded(t *testing.T) {
	s := startSite(t)
	finish := s.observeAll(t)
	address := s.address(controlNames[1], s.ports.control)
	for range acceptedConfigurations {
		err := eventually(func() error {
			_, err := s.call(http.MethodPut, address, "/loomgrade/config", "", acceptedConfiguration(s.version.Add(1)), http.StatusOK)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	readers := startCrowd(door{address: s.address(controlNames[2], s.ports.control), targets: []target{{"GET", "/loomgrade/config"}}},
		kind{"readers", configurationReaders, func(c *client) { c.write([]byte(c.head(lengthField(0)) + "\r\n")) }})
	readers.awaitSent()
	s.checkAll(t)
	readers.end()
	s.checkAll(t)
	finish()
}
