// Package sitesettings reads the settings file of a process of a site whose
// members discover each other: one JSON object without unknown keys.
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
	// Machine is the name of the machine, Zone its zone.
	Machine string `json:"machine"`
	Zone    string `json:"zone"`
	// Zones maps each zone of the site to its region; if empty, replicas of any zone
	// are accepted and no regions are known.
	Zones map[string]string `json:"zones,omitempty"`
	// IP is the machine's address, and PeerPort the port on which every machine of
	// the site accepts messages of other processes.
	IP       string `json:"ip"`
	PeerPort string `json:"peer_port"`
	// PeerListen, if set, replaces the machine's address as the listen address for
	// other processes. PeerSource is the source IP of calls to them. Both are for
	// machines that others reach through another address.
	PeerListen string `json:"peer_listen,omitempty"`
	PeerSource string `json:"peer_source,omitempty"`
	// CallerListen, ReadinessListen and ControlListen are the listen addresses of the
	// roles; empty disables one.
	CallerListen    string `json:"caller_listen"`
	ReadinessListen string `json:"readiness_listen"`
	ControlListen   string `json:"control_listen"`
	// MetricsListen is the listen address for metrics; empty disables them.
	MetricsListen string `json:"metrics_listen,omitempty"`
	// Seeds lists the control addresses of some control machines.
	Seeds []string `json:"seeds"`
	// FirstStart is set only when the whole site starts for the first time.
	FirstStart bool `json:"first_start"`
	// DataFolder stores the state of a role with a disk.
	DataFolder string `json:"data_folder"`
	// ToleratedLosses is the number of machines with a disk that may fail concurrently.
	ToleratedLosses int `json:"tolerated_losses"`
	// HolderLeaseMillis is the time for which replicas accept orders only from the
	// machine that sent the last one.
	HolderLeaseMillis float64 `json:"holder_lease_ms"`
	// GraceSeconds is the time between SIGTERM and SIGKILL.
	GraceSeconds float64 `json:"grace_s"`
	// KeepJobsSeconds is how long a finished job can be queried.
	KeepJobsSeconds float64 `json:"keep_jobs_s"`
	// MemoryMegabytes limits the memory of the process.
	MemoryMegabytes float64 `json:"memory_mb"`
	// MaxDescriptors limits the open descriptors of the process; 0 is the limit of its
	// environment.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// RevokeMillis is how long a disconnected front may use its cached keys of
	// callers; 0 is no limit.
	RevokeMillis float64 `json:"revoke_ms,omitempty"`
	// WarmupOvershoot and WarmupSlack limit by how much the requests to a cold replica
	// in one second may exceed its service's rate for cold replicas: by a factor, and
	// by a number of requests. The default is no excess.
	WarmupOvershoot float64 `json:"warmup_overshoot,omitempty"`
	WarmupSlack     float64 `json:"warmup_slack,omitempty"`
	// LimitSends limits what the process sends to services whose replicas are overloaded.
	LimitSends bool `json:"limit_sends,omitempty"`
	// ProviderAddress is the address of the machines' provider; empty for none.
	ProviderAddress string `json:"provider_address,omitempty"`
	// ProviderDuties lists the calls that the site makes to the provider. Only
	// "usage_report" is supported; others are ignored.
	ProviderDuties []string `json:"provider_duties,omitempty"`
	// UsageWindowSeconds is the length of a usage window, and UsageDueSeconds the
	// deadline for its report, counted from the window's end.
	UsageWindowSeconds float64 `json:"usage_window_s,omitempty"`
	UsageDueSeconds    float64 `json:"usage_due_s,omitempty"`
}

// minDescriptors is the least number of descriptors with which a process of a site can work.
const minDescriptors = 128

// dutyUsage is the provider's name for usage reports.
const dutyUsage = "usage_report"

// Error reports an invalid value of a key.
type Error struct {
	Path    string
	Key     string
	Value   string
	Allowed string
}

// Error returns a one-line message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s = %q, allowed: %s", e.Path, e.Key, e.Value, e.Allowed)
}

// Load reads and validates a settings file.
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
	invalid := func(key, value, allowed string) error {
		return &Error{Path: path, Key: key, Value: value, Allowed: allowed}
	}
	if f.Machine == "" {
		return invalid("machine", "", "a name")
	}
	if net.ParseIP(f.IP) == nil {
		return invalid("ip", f.IP, "an IP number")
	}
	if port, err := strconv.Atoi(f.PeerPort); err != nil || port < 1 || port > 65535 {
		return invalid("peer_port", f.PeerPort, "a port from 1 to 65535")
	}
	if len(f.Seeds) == 0 {
		return invalid("seeds", "", "at least one address")
	}
	for key, address := range map[string]string{
		"caller_listen": f.CallerListen, "readiness_listen": f.ReadinessListen, "control_listen": f.ControlListen, "metrics_listen": f.MetricsListen, "peer_listen": f.PeerListen,
		"provider_address": f.ProviderAddress,
	} {
		if address != "" && !isAddress(address) {
			return invalid(key, address, "host:port")
		}
	}
	for _, seed := range f.Seeds {
		if !isAddress(seed) {
			return invalid("seeds", seed, "host:port")
		}
	}
	if f.PeerSource != "" && net.ParseIP(f.PeerSource) == nil {
		return invalid("peer_source", f.PeerSource, "an IP number")
	}
	if f.ReportsUsage() && (f.UsageWindowSeconds <= 0 || f.UsageDueSeconds <= 0) {
		return invalid("usage_window_s, usage_due_s", fmt.Sprint(f.UsageWindowSeconds, ", ", f.UsageDueSeconds), "above 0 where usage is reported")
	}
	if f.RevokeMillis < 0 {
		return invalid("revoke_ms", fmt.Sprint(f.RevokeMillis), "0 or more")
	}
	if f.WarmupOvershoot < 0 || f.WarmupSlack < 0 {
		return invalid("warmup_overshoot, warmup_slack", fmt.Sprint(f.WarmupOvershoot, ", ", f.WarmupSlack), "0 or more")
	}
	if f.MaxDescriptors != 0 && f.MaxDescriptors < minDescriptors {
		return invalid("max_descriptors", strconv.Itoa(f.MaxDescriptors), fmt.Sprintf("0, or at least %d", minDescriptors))
	}
	if f.ToleratedLosses < 0 {
		return invalid("tolerated_losses", strconv.Itoa(f.ToleratedLosses), "0 or more")
	}
	return nil
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && host != "" && port != ""
}

// PeerAddress returns the address at which other processes reach this machine.
func (f *File) PeerAddress() string { return net.JoinHostPort(f.IP, f.PeerPort) }

// ListenAddress returns the listen address for other processes.
func (f *File) ListenAddress() string {
	if f.PeerListen != "" {
		return f.PeerListen
	}
	return f.PeerAddress()
}

// SeedPeers returns the peer addresses of the seeds.
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

// ReportsUsage reports whether the site sends usage reports to the provider.
func (f *File) ReportsUsage() bool {
	return f.ProviderAddress != "" && slices.Contains(f.ProviderDuties, dutyUsage)
}

// UsageWindow returns UsageWindowSeconds as a duration.
func (f *File) UsageWindow() time.Duration { return seconds(f.UsageWindowSeconds) }

// UsageDue returns UsageDueSeconds as a duration.
func (f *File) UsageDue() time.Duration { return seconds(f.UsageDueSeconds) }

// RevokeWithin returns RevokeMillis as a duration.
func (f *File) RevokeWithin() time.Duration {
	return time.Duration(f.RevokeMillis * float64(time.Millisecond))
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// HolderLease returns HolderLeaseMillis as a duration.
func (f *File) HolderLease() time.Duration {
	return time.Duration(f.HolderLeaseMillis * float64(time.Millisecond))
}

// ColdLimits returns the limits for requests to cold replicas above their service's
// rate.
func (f *File) ColdLimits() coldlimit.Limits {
	return coldlimit.Limits{Overshoot: f.WarmupOvershoot, Slack: f.WarmupSlack}
}

// Grace returns GraceSeconds as a duration.
func (f *File) Grace() time.Duration {
	return seconds(f.GraceSeconds)
}

// KeepJobs returns KeepJobsSeconds as a duration.
func (f *File) KeepJobs() time.Duration {
	return seconds(f.KeepJobsSeconds)
}
