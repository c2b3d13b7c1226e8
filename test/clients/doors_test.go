package clients

import "testing"

// frontTargets are the paths of a front: with a route, without one, the path that reports readiness,
// and the calls about jobs.
var frontTargets = []target{
	{"POST", "/plain/x"}, {"POST", "/nowhere/x"}, {"GET", readyPath}, {"POST", "/jobs/submit"},
	{"GET", "/loomgrade/lots/" + heldJob}, {"GET", "/loomgrade/items/" + heldJob}, {"DELETE", "/loomgrade/lots/nobody"},
}

// controlTargets are the calls of operators, replicas and trainers.
var controlTargets = []target{
	{"PUT", "/loomgrade/config"}, {"GET", "/loomgrade/config"}, {"PUT", "/loomgrade/replicas/i-crowd"}, {"DELETE", "/loomgrade/replicas/i-crowd"},
	{"POST", "/loomgrade/version-put"}, {"POST", "/loomgrade/retire/nobody"}, {"GET", "/loomgrade/retire/nobody"},
	{"POST", "/loomgrade/drain/nowhere"}, {"GET", "/nothing"},
}

// httpDoors returns the HTTP listeners of a site.
func (s *site) httpDoors() []door {
	metrics := []target{{"GET", "/metrics"}, {"POST", "/nothing"}}
	return []door{
		{"callers", frontName, s.address(frontName, s.ports.caller), frontTargets, s.checkRequest},
		{"readiness", frontName, s.address(frontName, s.ports.ready), []target{{"GET", readyPath}, {"POST", "/nothing"}}, s.checkReady},
		{"metrics of a front", frontName, s.address(frontName, s.ports.metrics), metrics, s.checkMetrics(frontName)},
		{"operators", controlNames[0], s.address(controlNames[0], s.ports.control), controlTargets, s.checkConfiguration},
		{"metrics of a control process", controlNames[0], s.address(controlNames[0], s.ports.metrics), metrics, s.checkMetrics(controlNames[0])},
		{"metrics of a store", storeNames[0], s.address(storeNames[0], s.ports.metrics), metrics, s.checkMetrics(storeNames[0])},
	}
}

// TestCrowds plays every kind of client at every HTTP listener of a site.
func TestCrowds(t *testing.T) {
	build(t)
	extra := map[string][]kind{
		"callers":   append(jobKinds(), readerKinds()...),
		"operators": append(configurationKinds(), heartbeatKind()),
	}
	playCrowds(t, startSite, (*site).httpDoors, func(d door) []kind { return append(append([]kind{}, httpKinds...), extra[d.name]...) })
}

// playCrowds plays the kinds of clients of each door, one after the other. After a failure it goes on
// with a new site.
func playCrowds(t *testing.T, start func(*testing.T) *site, doors func(*site) []door, kinds func(door) []kind) {
	s := start(t)
	sound := true
	restart := func() {
		s.close()
		s = start(t)
	}
	for index, d := range doors(s) {
		t.Run(d.name, func(t *testing.T) {
			for _, k := range kinds(d) {
				if !sound {
					restart()
				}
				sound = t.Run(k.name, func(t *testing.T) { s.playCrowd(t, doors(s)[index], k) })
			}
		})
	}
}
