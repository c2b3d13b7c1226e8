package routing_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/routing"
)

func validRoute(name, prefix string) routing.Route {
	return routing.Route{Name: name, Host: "h.example", Prefix: prefix, Kind: routing.KindIdempotent, Timeout: time.Second, Service: "s", MaxAttempts: 2}
}

func document(routes ...routing.Route) *routing.Document {
	return &routing.Document{Version: 1, Routes: routes, Services: []routing.Service{{Name: "s"}, {Name: "u"}}}
}

func TestLookupTakesTheLongestPrefixOfTheHost(t *testing.T) {
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
	for name, spoil := range map[string]func(*routing.Document){
		"no host":         func(d *routing.Document) { d.Routes[0].Host = "" },
		"bad prefix":      func(d *routing.Document) { d.Routes[0].Prefix = "/a" },
		"no timeout":      func(d *routing.Document) { d.Routes[0].Timeout = 0 },
		"unknown kind":    func(d *routing.Document) { d.Routes[0].Kind = "other" },
		"unknown service": func(d *routing.Document) { d.Routes[0].Service = "x" },
		"same place":      func(d *routing.Document) { d.Routes[1].Prefix = d.Routes[0].Prefix },
		"unknown share":   func(d *routing.Document) { d.Routes[0].Split = []routing.Share{{Service: "x", Weight: 1}} },
		"no weight":       func(d *routing.Document) { d.Routes[0].Split = []routing.Share{{Service: "s"}, {Service: "u"}} },
		"negative weight": func(d *routing.Document) {
			d.Routes[0].Split = []routing.Share{{Service: "s", Weight: -1}, {Service: "u", Weight: 3}}
		},
		"service twice": func(d *routing.Document) { d.Services[1].Name = "s" },
		"nameless":      func(d *routing.Document) { d.Services[1].Name = "" },
		"attempts":      func(d *routing.Document) { d.Routes[0].MaxAttempts = -1 },
	} {
		spoiled := document(validRoute("a", "/a/"), validRoute("b", "/b/"))
		if err := spoiled.Validate(); err != nil {
			t.Fatal(err)
		}
		spoil(spoiled)
		var invalid *routing.InvalidError
		if err := spoiled.Validate(); !errors.As(err, &invalid) || invalid.Field == "" || invalid.Reason == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSplitKeepsItsWeightsOverFewRequests(t *testing.T) {
	route := validRoute("a", "/a/")
	route.Split = []routing.Share{{Service: "s", Weight: 90}, {Service: "none", Weight: 0}, {Service: "u", Weight: 10}}
	counts := map[string]int{}
	for n := range uint64(200) {
		counts[route.Choose(n)]++
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
