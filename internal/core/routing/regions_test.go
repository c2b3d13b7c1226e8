package routing_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/routing"
)

func TestRouteAndTenantRegionsBothApply(t *testing.T) {
	for name, row := range map[string]struct {
		route, tenant []string
		allowed       map[string]bool
	}{
		"unrestricted":                  {nil, nil, map[string]bool{"a": true, "b": true, "": true}},
		"route":                         {[]string{"a"}, nil, map[string]bool{"a": true, "b": false, "": false}},
		"tenant":                        {nil, []string{"a", "b"}, map[string]bool{"a": true, "b": true, "c": false}},
		"route and tenant":              {[]string{"a", "b"}, []string{"b", "c"}, map[string]bool{"a": false, "b": true, "c": false}},
		"route and tenant, none common": {[]string{"a"}, []string{"b"}, map[string]bool{"a": false, "b": false, "": false}},
	} {
		regions := routing.AllowedRegionsOf(&routing.Route{Regions: row.route}, &routing.Tenant{Regions: row.tenant})
		for region, want := range row.allowed {
			if got := regions.Allows(region); got != want {
				t.Errorf("%s: region %q allowed %v", name, region, got)
			}
		}
	}
	if routing.AllowedRegionsOf(&routing.Route{}, nil).Restricted() {
		t.Error("a request without tenant is restricted on an unrestricted route")
	}
}
