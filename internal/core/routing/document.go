package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/apikey"
)

// Kind says what may be done with a route's requests.
type Kind string

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindSingle requests run at most once for each id.
	KindSingle Kind = "single"
	// KindStream requests are answered by a series of events.
	KindStream Kind = "stream"
	// KindJobs takes jobs: sets of items that run after they were accepted.
	KindJobs Kind = "jobs"
)

// Document is a whole configuration.
type Document struct {
	// Version rises with every change; the highest holds.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants are those who may call. Without any, a caller needs no key.
	Tenants []Tenant
}

// Tenant is a customer whose callers show one of its keys.
type Tenant struct {
	Name string
	Keys []apikey.Digest
	// Priority, if set, goes before that of the route.
	Priority *int
	// Regions are where its requests may be served and kept; empty is everywhere.
	Regions []string
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request is held; 0 is no bound.
	Timeout time.Duration
	// Aim is the time within which an answer is worth most.
	Aim      time.Duration
	Priority int
	// Service is where all requests go, unless Split names parts.
	Service string
	Split   []Share
	// MaxAttempts bounds the replicas that one request, or one item of a job,
	// is tried on.
	MaxAttempts int
	// Resumable streams may go on at another replica.
	Resumable bool
	// RunAim is how long after its submission a job's results are due.
	RunAim time.Duration
	// Keep is how long after its submission an item is kept before it may be
	// given up; 0 is no bound.
	Keep time.Duration
	// OneVersion wants every result made by a single weight version.
	OneVersion bool
	// Public routes are open to callers without a key.
	Public bool
	// Regions are where its requests may be served and kept; empty is everywhere.
	Regions []string
}

// Share is one part of a split route.
type Share struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service is a set of like replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one replica from all callers.
	MaxConnections int
	// Engine is set for services whose replicas generate text.
	Engine *Engine
	// Warmup is how long a replica stays cold after its start, and WarmupRate how many
	// requests a second it bears from all senders meanwhile. A rate of 0 is no bound.
	Warmup     time.Duration
	WarmupRate float64
}

// Engine describes the replicas of a generating service.
type Engine struct {
	// Slots is how many requests one replica works on at once.
	Slots  int
	Models []string
}

// Limits bound what a client may send. A zero field is no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// InvalidError says what is wrong with a document.
type InvalidError struct {
	// Field names the part at fault, such as `route "a": timeout`.
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Field + ": " + e.Reason }

// Validate reports the first fault of the document as an *InvalidError.
func (d *Document) Validate() error {
	services, err := d.serviceNames()
	if err != nil {
		return err
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(d.Routes))
	for i := range d.Routes {
		route := &d.Routes[i]
		if err := route.validate(services); err != nil {
			return err
		}
		at := place{strings.ToLower(route.Host), route.Prefix}
		if other, taken := places[at]; taken {
			return route.fault("path prefix", fmt.Sprintf("same host and prefix as route %q", other))
		}
		places[at] = route.Name
	}
	return d.validateTenants()
}

// validateTenants refuses a tenant without a name, one that stands twice, and a key that
// stands twice: it would not say whose its bearer's requests are. A tenant may have no key.
func (d *Document) validateTenants() error {
	names := make(map[string]bool, len(d.Tenants))
	holders := make(map[apikey.Digest]string, len(d.Tenants))
	for _, tenant := range d.Tenants {
		fault := func(reason string) error {
			return &InvalidError{Field: fmt.Sprintf("tenant %q", tenant.Name), Reason: reason}
		}
		if tenant.Name == "" || names[tenant.Name] {
			return fault("has no name, or one that another tenant has")
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if key == (apikey.Digest{}) {
				return fault("has an empty key")
			}
			if other, held := holders[key]; held && other != tenant.Name {
				return fault(fmt.Sprintf("shares a key with tenant %q", other))
			}
			holders[key] = tenant.Name
		}
	}
	return nil
}

func (d *Document) serviceNames() (map[string]bool, error) {
	names := make(map[string]bool, len(d.Services))
	for _, service := range d.Services {
		if service.Name == "" {
			return nil, &InvalidError{Field: "service", Reason: "has no name"}
		}
		if names[service.Name] {
			return nil, &InvalidError{Field: fmt.Sprintf("service %q", service.Name), Reason: "stands twice"}
		}
		names[service.Name] = true
	}
	return names, nil
}

func (r *Route) fault(field, reason string) error {
	return &InvalidError{Field: fmt.Sprintf("route %q: %s", r.Name, field), Reason: reason}
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return r.fault("host", "is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return r.fault("path prefix", "must begin and end with a slash")
	case r.Timeout <= 0:
		return r.fault("timeout", "must be above 0")
	case r.MaxAttempts < 0:
		return r.fault("attempts", "must not be negative")
	}
	switch r.Kind {
	case KindIdempotent, KindSingle, KindStream, KindJobs:
	default:
		return r.fault("kind", fmt.Sprintf("unknown kind %q", string(r.Kind)))
	}
	if len(r.Split) == 0 {
		if !services[r.Service] {
			return r.fault("service", fmt.Sprintf("no service %q", r.Service))
		}
		return nil
	}
	return r.validateSplit(services)
}

func (r *Route) validateSplit(services map[string]bool) error {
	total := 0.0
	for _, share := range r.Split {
		if !services[share.Service] {
			return r.fault("split", fmt.Sprintf("no service %q", share.Service))
		}
		if share.Weight < 0 {
			return r.fault("split", "negative weight")
		}
		total += share.Weight
	}
	if total <= 0 {
		return r.fault("split", "weights sum to 0")
	}
	return nil
}
