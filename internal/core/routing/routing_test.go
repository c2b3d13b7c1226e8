package routing_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/apikey"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

func validRoute(name, prefix string) routing.Route {
	return routing.Route{Name: name, Host: "h.example", Prefix: prefix, Kind: routing.KindIdempotent, Timeout: time.Second, Service: "s", MaxAttempts: 2}
}

func document(routes ...routing.Route) *routing.Document {
	return &routing.Document{Version: 1, Routes: routes, Services: []routing.Service{{Name: "s"}, {Name: "u"}}}
}

func TestLookupReturnsLongestPrefixOfHost(t *testing.T) {
	table := routing.NewTable(document(validRoute("short", "/a/"), validRoute("long", "/a/b/"), validRoute("root", "/r/")))
	for _, row := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/", "short"},
		{"h.example", "/a/b/x/y?q=/r/", "long"},
		{"H.Example:8080", "/a/b/", "long"},
		{"h.example", "/a/b", "short"},
		{"h.example", "/a", ""},
		{"h.example", "/", ""},
		{"h.example", "", ""},
		{"other.example", "/a/x", ""},
	} {
		got := ""
		if route := table.Lookup(row.host, row.path); route != nil {
			got = route.Name
		}
		if got != row.want {
			t.Errorf("%s %s: route %q, want %q", row.host, row.path, got, row.want)
		}
	}
}

func TestInvalidDocumentsAreRefused(t *testing.T) {
	for name, invalidate := range map[string]func(*routing.Document){
		"no host":         func(d *routing.Document) { d.Routes[0].Host = "" },
		"invalid prefix":  func(d *routing.Document) { d.Routes[0].Prefix = "/a" },
		"no timeout":      func(d *routing.Document) { d.Routes[0].Timeout = 0 },
		"unknown kind":    func(d *routing.Document) { d.Routes[0].Kind = "other" },
		"unknown service": func(d *routing.Document) { d.Routes[0].Service = "x" },
		"duplicate match": func(d *routing.Document) { d.Routes[1].Prefix = d.Routes[0].Prefix },
		"unknown share":   func(d *routing.Document) { d.Routes[0].Split = []routing.Share{{Service: "x", Weight: 1}} },
		"no weight":       func(d *routing.Document) { d.Routes[0].Split = []routing.Share{{Service: "s"}, {Service: "u"}} },
		"negative weight": func(d *routing.Document) {
			d.Routes[0].Split = []routing.Share{{Service: "s", Weight: -1}, {Service: "u", Weight: 3}}
		},
		"duplicate service": func(d *routing.Document) { d.Services[1].Name = "s" },
		"unnamed service":   func(d *routing.Document) { d.Services[1].Name = "" },
		"negative attempts": func(d *routing.Document) { d.Routes[0].MaxAttempts = -1 },
	} {
		doc := document(validRoute("a", "/a/"), validRoute("b", "/b/"))
		if err := doc.Validate(); err != nil {
			t.Fatal(err)
		}
		invalidate(doc)
		var invalid *routing.InvalidError
		if err := doc.Validate(); !errors.As(err, &invalid) || invalid.Field == "" || invalid.Reason == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSplitFollowsWeightsOverFewRequests(t *testing.T) {
	route := validRoute("a", "/a/")
	route.Split = []routing.Share{{Service: "s", Weight: 90}, {Service: "none", Weight: 0}, {Service: "u", Weight: 10}}
	counts := map[string]int{}
	for n := range uint64(200) {
		counts[route.ServiceFor(n)]++
	}
	if counts["none"] != 0 || counts["u"] < 18 || counts["u"] > 22 {
		t.Errorf("counts %v", counts)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, size := range []int{10, 350, 5000} {
		var routes []routing.Route
		for i := range size {
			routes = append(routes, validRoute(fmt.Sprint(i), fmt.Sprintf("/p%d/", i)))
		}
		table := routing.NewTable(document(routes...))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Lookup("h.example", "/p7/abc/def")
			}
		})
	}
}

func TestTenantsAreFoundByTheirKeys(t *testing.T) {
	doc := document(validRoute("a", "/a/"))
	if routing.NewTable(doc).RequiresKeys() {
		t.Error("keys are required without tenants")
	}
	doc.Tenants = []routing.Tenant{{Name: "ada", Keys: []apikey.Digest{apikey.Of("1"), apikey.Of("2")}}, {Name: "bob"}}
	if err := doc.Validate(); err != nil {
		t.Fatal(err)
	}
	table := routing.NewTable(doc)
	for key, want := range map[string]string{"1": "ada", "2": "ada", "3": "", "": ""} {
		got := ""
		if tenant := table.TenantOf(key); tenant != nil {
			got = tenant.Name
		}
		if got != want || !table.RequiresKeys() {
			t.Errorf("key %q: tenant %q, want %q", key, got, want)
		}
	}
}

func TestInvalidTenantsAreRefused(t *testing.T) {
	one, two := apikey.Of("1"), apikey.Of("2")
	for name, tenants := range map[string][]routing.Tenant{
		"unnamed":        {{Keys: []apikey.Digest{one}}},
		"duplicate name": {{Name: "a", Keys: []apikey.Digest{one}}, {Name: "a", Keys: []apikey.Digest{two}}},
		"shared key":     {{Name: "a", Keys: []apikey.Digest{one}}, {Name: "b", Keys: []apikey.Digest{two, one}}},
		"empty key":      {{Name: "a", Keys: []apikey.Digest{apikey.Of("")}}},
	} {
		doc := document(validRoute("a", "/a/"))
		doc.Tenants = tenants
		var invalid *routing.InvalidError
		if err := doc.Validate(); !errors.As(err, &invalid) || invalid.Field == "" || invalid.Reason == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// BenchmarkTenantOf checks that the lookup time doesn't grow with the number of tenants.
func BenchmarkTenantOf(b *testing.B) {
	for _, size := range []int{78, 10_000} {
		doc := document(validRoute("a", "/a/"))
		for i := range size {
			doc.Tenants = append(doc.Tenants, routing.Tenant{Name: fmt.Sprint(i), Keys: []apikey.Digest{apikey.Of(fmt.Sprint("key", i))}})
		}
		table := routing.NewTable(doc)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.TenantOf("key7")
			}
		})
	}
}
