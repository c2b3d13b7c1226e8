package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"
)

// Limits of settings.
const (
	minTick            = 5 * time.Millisecond
	maxTick            = 5 * time.Second
	minSnapshotEntries = 100
	maxSnapshotEntries = 1_000_000
	minLease           = 500 * time.Millisecond
	maxLease           = 10 * time.Minute
	maxRingLines       = 1_000_000
)

// namePattern matches names of clusters, nodes, zones and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 lower-case letters, digits and inner hyphens"

// checker collects the errors of one file.
type checker struct{ errors []*Error }

func (f *File) check() []*Error {
	var c checker
	c.name("cluster", f.Cluster)
	c.numberRange("log.ring_lines", int64(f.Log.RingLines), 1, maxRingLines)
	if (f.Control == nil) == (f.Node == nil) {
		c.addError("control", "", "exactly one of the sections control and node")
	}
	if f.Control != nil {
		c.control(f.Control)
	}
	if f.Node != nil {
		c.node(f.Node)
	}
	return c.errors
}

func (c *checker) control(control *Control) {
	if control.ID == 0 {
		c.addError("control.id", "0", "a whole number over 0")
	}
	c.requirePath("control.data_folder", control.DataFolder)
	c.address("control.peer_listen", control.PeerListen)
	c.address("control.operator_listen", control.OperatorListen)
	c.durationRange("control.tick", control.Tick, minTick, maxTick)
	c.numberRange("control.snapshot_entries", int64(control.SnapshotEntries), minSnapshotEntries, maxSnapshotEntries)
	if len(control.Members) == 0 {
		c.addError("control.members", "", "at least one member")
	}
	seen := map[uint64]bool{}
	for index, member := range control.Members {
		key := fmt.Sprintf("control.members[%d]", index)
		if member.ID == 0 || seen[member.ID] {
			c.addError(key+".id", strconv.FormatUint(member.ID, 10), "a whole number over 0 that no other member has")
		}
		seen[member.ID] = true
		c.reachable(key+".address", member.Address)
	}
	c.distinct("control.members", addressesOf(control.Members))
	c.distinct("control.operator_listen", []string{control.PeerListen, control.OperatorListen})
	if !control.Join && !seen[control.ID] {
		c.addError("control.id", strconv.FormatUint(control.ID, 10), "the id of one of control.members, unless join is true")
	}
}

func (c *checker) node(node *Node) {
	c.name("node.id", string(node.ID))
	c.name("node.zone", string(node.Zone))
	if node.Region != "" {
		c.name("node.region", string(node.Region))
	}
	c.address("node.http_listen", node.HTTPListen)
	c.address("node.peer_listen", node.PeerListen)
	c.durationRange("node.configuration_lease", node.ConfigurationLease, minLease, maxLease)
	if len(node.ControlMembers) == 0 {
		c.addError("node.control_members", "", "at least one address")
	}
	for index, address := range node.ControlMembers {
		c.reachable(fmt.Sprintf("node.control_members[%d]", index), address)
	}
	c.distinct("node.control_members", node.ControlMembers)
	c.distinct("node.peer_listen", []string{node.HTTPListen, node.PeerListen})
}

func addressesOf(members []Member) []string {
	addresses := make([]string, len(members))
	for index, member := range members {
		addresses[index] = member.Address
	}
	return addresses
}

func (c *checker) addError(key, value, allowed string) {
	c.errors = append(c.errors, &Error{Key: key, Value: value, Allowed: allowed})
}

func (c *checker) requirePath(key, value string) {
	if value == "" {
		c.addError(key, "", "a path")
	}
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.addError(key, value, nameAllowed)
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(key, value, "IP:port, by number")
	}
}

// reachable checks an address at which other processes are reached.
func (c *checker) reachable(key, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.addError(key, value, "IP:port, by number, of one machine")
	}
}

// distinct rejects duplicate addresses. Port 0 selects any free port.
func (c *checker) distinct(key string, addresses []string) {
	seen := map[string]bool{}
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || parsed.Port() == 0 {
			continue
		}
		if seen[address] {
			c.addError(key, address, "addresses that differ")
		}
		seen[address] = true
	}
}

func (c *checker) numberRange(key string, value, low, high int64) {
	if value < low || value > high {
		c.addError(key, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) durationRange(key string, duration Duration, low, high time.Duration) {
	if err := duration.CheckRange(key, low, high); err != nil {
		c.errors = append(c.errors, err)
	}
}
