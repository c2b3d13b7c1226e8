package sitesettings_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/sitesettings"
)

// load writes settings with some keys changed and loads them.
func load(t *testing.T, change map[string]any) (*sitesettings.File, error) {
	t.Helper()
	settings := map[string]any{
		"machine": "front-1", "zone": "z", "ip": "10.0.0.1", "peer_port": "7000", "seeds": []string{"10.0.0.2:80"}, "grace_s": 8,
		"provider_address": "10.0.0.9:80", "provider_duties": []string{"autoscale", "usage_report"}, "usage_window_s": 5, "usage_due_s": 10, "revoke_ms": 2500,
	}
	for key, value := range change {
		settings[key] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return sitesettings.Load(path)
}

func TestProviderSettings(t *testing.T) {
	file, err := load(t, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !file.ReportsUsage() || file.UsageWindow() != 5*time.Second || file.UsageDue() != 10*time.Second || file.RevokeWithin() != 2500*time.Millisecond {
		t.Errorf("%+v", file)
	}
	for name, change := range map[string]map[string]any{
		"no provider":         {"provider_address": ""},
		"another duty":        {"provider_duties": []string{"autoscale"}},
		"no duty":             {"provider_duties": nil},
		"no duty, no windows": {"provider_duties": nil, "usage_window_s": 0},
	} {
		if file, err := load(t, change); err != nil || file.ReportsUsage() {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestInvalidProviderSettingsNameKey(t *testing.T) {
	for key, value := range map[string]any{
		"provider_address": "nowhere", "revoke_ms": -1, "usage_window_s": 0, "usage_due_s": -3,
	} {
		_, err := load(t, map[string]any{key: value})
		var invalid *sitesettings.Error
		if !errors.As(err, &invalid) || invalid.Key == "" || invalid.Allowed == "" {
			t.Errorf("%s = %v: %v", key, value, err)
		}
	}
	if _, err := load(t, map[string]any{"provider_adress": "10.0.0.9:80"}); err == nil {
		t.Error("an unknown key was accepted")
	}
}

// The send limit must be off unless it is asked for.
func TestLimitSendsDefaultsToFalse(t *testing.T) {
	for _, want := range []bool{false, true} {
		change := map[string]any{}
		if want {
			change["limit_sends"] = true
		}
		if file, err := load(t, change); err != nil || file.LimitSends != want {
			t.Errorf("limit_sends %v, %v, want %v", file.LimitSends, err, want)
		}
	}
	if _, err := load(t, map[string]any{"limit_sends": "yes"}); err == nil {
		t.Error("a text was accepted")
	}
}

func TestDescriptorsOfMachine(t *testing.T) {
	for value, valid := range map[int]bool{0: true, 127: false, 128: true, 4100: true, -1: false} {
		file, err := load(t, map[string]any{"max_descriptors": value})
		if (err == nil) != valid || (valid && file.MaxDescriptors != value) {
			t.Errorf("max_descriptors %d: %v", value, err)
		}
	}
}
