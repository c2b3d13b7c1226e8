package examples

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestSitesUseTheDefaultPolicy checks that the policies in the sites' configurations equal
// the built-in default.
func TestSitesUseTheDefaultPolicy(t *testing.T) {
	configurations, err := filepath.Glob(filepath.Join(testkit.Root(t), "examples", "*", "configuration.yaml"))
	if err != nil || len(configurations) == 0 {
		t.Fatalf("%d configurations, %v", len(configurations), err)
	}
	for _, path := range configurations {
		name := filepath.Join("examples", filepath.Base(filepath.Dir(path)), "configuration.yaml")
		content := strings.ReplaceAll(testkit.Page(t, name), "\n        ", "\n")
		if named, same := strings.Count(content, "policy: |"), strings.Count(content, policy.Default); named == 0 || named != same {
			t.Errorf("%s: %d policies, of which %d are the default", name, named, same)
		}
	}
}
