// Package sitesettings reads the settings file of a process of a site whose
// members find each other: one JSON object, unknown keys refused.
package sitesettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
)

// File is a settings file. Addresses are host:port by IP number.
type File struct {
	// Machine is the machine's name, Zone where it stands.
	Machine string `json:"machine"`
	Zone    string `json:"zone"`
	// Zones gives the region of each zone of the site; empty takes replicas of any zone, and
	// knows of no regions.
	Zones map[string]string `json:"zones,omitempty"`
	// IP is the machine's address and PeerPort the port on which every machine
	// of the site takes messages of other processes.
	IP       string `json:"ip"`
	PeerPort string `json:"peer_port"`
	// PeerListen, if set, is where the process listens for other processes in
	// place of the machine's address, and PeerSource the IP number that it calls
	// them from: for machines that others reach through another address.
	PeerListen string `json:"peer_listen,omitempty"`
	PeerSource string `json:"peer_source,omitempty"`
	// CallerListen, ReadinessListen and ControlListen are where the roles
	// serve; a role that does not serve there has an empty one.
	CallerListen    string `json:"caller_listen"`
	ReadinessListen string `json:"readiness_listen"`
	ControlListen   string `json:"control_listen"`
	// MetricsListen serves metrics; empty is nowhere.
	MetricsListen string `json:"metrics_listen,omitempty"`
	// Seeds are control addresses of some control machines.
	Seeds []string `json:"seeds"`
	// FirstStart is set only when the whole site starts for the first time.
	FirstStart bool `json:"first_start"`
	// DataFolder holds the state of a role with a disk.
	DataFolder string `json:"data_folder"`
	// ToleratedLosses is how many machines with a disk may be lost at once.
	ToleratedLosses int `json:"tolerated_losses"`
	// HolderLeaseMillis is how long replicas hold to the machine that ordered
	// them last.
	HolderLeaseMillis float64 `json:"holder_lease_ms"`
	// GraceSeconds is the time between SIGTERM and SIGKILL.
	GraceSeconds float64 `json:"grace_s"`
	// KeepJobsSeconds is how long a job that ended can be asked about.
	KeepJobsSeconds float64 `json:"keep_jobs_s"`
	// MemoryMegabytes bounds the process.
	MemoryMegabytes float64 `json:"memory_mb"`
	// RevokeMillis is how long a front that is out of touch may go by the keys of
	// callers that it knows; 0 is no bound.
	RevokeMillis float64 `json:"revoke_ms,omitempty"`
	// WarmupOvershoot and WarmupSlack are by how much the requests that a cold replica gets
	// in one second may exceed its service's rate for cold ones: by the factor, and by so
	// many more. Without them they may not.
	WarmupOvershoot float64 `json:"warmup_overshoot,omitempty"`
	WarmupSlack     float64 `json:"warmup_slack,omitempty"`
	// ProviderAddress is where the provider of the machines is called; empty for none.
	ProviderAddress string `json:"provider_address,omitempty"`
	// ProviderDuties are what the site does there: "usage_report" is all that is known;
	// others are left undone.
	ProviderDuties []string `json:"provider_duties,omitempty"`
	// UsageWindowSeconds is the length of a window of usage, and UsageDueSeconds how long
	// after a window's end its report may come.
	UsageWindowSeconds float64 `json:"usage_window_s,omitempty"`
	UsageDueSeconds    float64 `json:"usage_due_s,omitempty"`
}

// dutyUsage is the provider's name for reports of usage.
const dutyUsage = "usage_report"

// Error says which key of which file is at fault.
type Error struct {
	Path    string
	Key     string
	Value   string
	Allowed string
}

// Error gives one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s = %q, allowed: %s", e.Path, e.Key, e.Value, e.Allowed)
}

// Load reads and checks a settings file.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings file")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	file := &File{}
	if err := decoder.Decode(file); err != nil {
		return nil, eris.Wrapf(err, "settings file %s", path)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, eris.Errorf("settings file %s: more than one JSON value", path)
	}
	return file, file.check(path)
}

func (f *File) check(path string) error {
	fault := func(key, value, allowed string) error {
		return &Error{Path: path, Key: key, Value: value, Allowed: allowed}
	}
	if f.Machine == "" {
		return fault("machine", "", "a name")
	}
	if net.ParseIP(f.IP) == nil {
		return fault("ip", f.IP, "an IP number")
	}
	if port, err := strconv.Atoi(f.PeerPort); err != nil || port < 1 || port > 65535 {
		return fault("peer_port", f.PeerPort, "a port from 1 to 65535")
	}
	if len(f.Seeds) == 0 {
		return fault("seeds", "", "at least one address")
	}
	for key, address := range map[string]string{
		"caller_listen": f.CallerListen, "readiness_listen": f.ReadinessListen, "control_listen": f.ControlListen, "metrics_listen": f.MetricsListen, "peer_listen": f.PeerListen,
		"provider_address": f.ProviderAddress,
	} {
		if address != "" && !isAddress(address) {
			return fault(key, address, "host:port")
		}
	}
	for _, seed := range f.Seeds {
		if !isAddress(seed) {
			return fault("seeds", seed, "host:port")
		}
	}
	if f.PeerSource != "" && net.ParseIP(f.PeerSource) == nil {
		return fault("peer_source", f.PeerSource, "an IP number")
	}
	if f.ReportsUsage() && (f.UsageWindowSeconds <= 0 || f.UsageDueSeconds <= 0) {
		return fault("usage_window_s, usage_due_s", fmt.Sprint(f.UsageWindowSeconds, ", ", f.UsageDueSeconds), "above 0 where usage is reported")
	}
	if f.RevokeMillis < 0 {
		return fault("revoke_ms", fmt.Sprint(f.RevokeMillis), "0 or more")
	}
	if f.WarmupOvershoot < 0 || f.WarmupSlack < 0 {
		return fault("warmup_overshoot, warmup_slack", fmt.Sprint(f.WarmupOvershoot, ", ", f.WarmupSlack), "0 or more")
	}
	if f.ToleratedLosses < 0 {
		return fault("tolerated_losses", strconv.Itoa(f.ToleratedLosses), "0 or more")
	}
	return nil
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && host != "" && port != ""
}

// PeerAddress is where this machine takes messages of other processes.
func (f *File) PeerAddress() string { return net.JoinHostPort(f.IP, f.PeerPort) }

// ListenAddress is where the process listens for other processes.
func (f *File) ListenAddress() string {
	if f.PeerListen != "" {
		return f.PeerListen
	}
	return f.PeerAddress()
}

// SeedPeers are the peer addresses of the seeds.
func (f *File) SeedPeers() []string {
	peers := make([]string, 0, len(f.Seeds))
	for _, seed := range f.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			peers = append(peers, net.JoinHostPort(host, f.PeerPort))
		}
	}
	return peers
}

// ReportsUsage reports whether the site tells the provider of its tenants' requests.
func (f *File) ReportsUsage() bool {
	return f.ProviderAddress != "" && slices.Contains(f.ProviderDuties, dutyUsage)
}

// UsageWindow is UsageWindowSeconds as a duration.
func (f *File) UsageWindow() time.Duration { return seconds(f.UsageWindowSeconds) }

// UsageDue is UsageDueSeconds as a duration.
func (f *File) UsageDue() time.Duration { return seconds(f.UsageDueSeconds) }

// RevokeWithin is RevokeMillis as a duration.
func (f *File) RevokeWithin() time.Duration {
	return time.Duration(f.RevokeMillis * float64(time.Millisecond))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// HolderLease is HolderLeaseMillis as a duration.
func (f *File) HolderLease() time.Duration {
	return time.Duration(f.HolderLeaseMillis * float64(time.Millisecond))
}

// ColdLimits bound what cold replicas get beyond their service's rate.
func (f *File) ColdLimits() coldlimit.Limits {
	return coldlimit.Limits{Overshoot: f.WarmupOvershoot, Slack: f.WarmupSlack}
}

// Grace is GraceSeconds as a duration.
func (f *File) Grace() time.Duration {
	return seconds(f.GraceSeconds)
}

// KeepJobs is KeepJobsSeconds as a duration.
func (f *File) KeepJobs() time.Duration {
	return seconds(f.KeepJobsSeconds)
}
