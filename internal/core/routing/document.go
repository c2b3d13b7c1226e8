package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/apikey"
)

// Kind is the delivery semantics of a route's requests.
type Kind string

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindSingle requests run at most once per request id.
	KindSingle Kind = "single"
	// KindStream requests are answered by a stream of events.
	KindStream Kind = "stream"
	// KindJobs accepts jobs: sets of items that run after submission.
	KindJobs Kind = "jobs"
)

// Document is a complete configuration.
type Document struct {
	// Version increases with every change; the highest version applies.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants are the permitted callers. If empty, no key is required.
	Tenants []Tenant
}

// Tenant is a customer whose callers authenticate with one of its keys.
type Tenant struct {
	Name string
	Keys []apikey.Digest
	// Priority, if set, overrides that of the route.
	Priority *int
	// Regions are the regions in which its requests may be served and stored; empty
	// means all.
	Regions []string
}

// Route directs the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the duration of a request.
	Timeout time.Duration
	// Aim is the target response time.
	Aim      time.Duration
	Priority int
	// Service receives all requests unless Split is set.
	Service string
	Split   []Share
	// MaxAttempts limits the number of replicas tried for one request or one item of
	// a job.
	MaxAttempts int
	// Resumable streams may continue on another replica.
	Resumable bool
	// RunAim is the target time from the submission of a job to its results.
	RunAim time.Duration
	// Keep is the minimum time from submission before an item may be dropped; 0 means
	// that items are never dropped for their age.
	Keep time.Duration
	// OneVersion requires all results to come from a single weight version.
	OneVersion bool
	// Public routes don't require a key.
	Public bool
	// Regions are the regions in which requests may be served and stored; empty means
	// all.
	Regions []string
}

// Share is one service of a split route and its weight.
type Share struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service is a set of equivalent replicas.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections to one replica from all callers.
	MaxConnections int
	// Engine is set for services whose replicas generate text.
	Engine *Engine
	// Warmup is how long a replica stays cold after its start. WarmupRate is the
	// number of requests per second that it accepts from all senders during that
	// time; 0 means no limit.
	Warmup     time.Duration
	WarmupRate float64
}

// Engine describes the replicas of a text generation service.
type Engine struct {
	// Slots is the number of requests that one replica processes concurrently.
	Slots  int
	Models []string
	// MemoryTokens is how many tokens a replica has memory for, 0 if unknown. It rejects a request
	// with more.
	MemoryTokens int
}

// Limits restrict client requests. A zero field means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// InvalidError reports an invalid part of a document.
type InvalidError struct {
	// Field names the invalid part, such as `route "a": timeout`.
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Field + ": " + e.Reason }

// Validate returns the first error in the document as an *InvalidError.
func (d *Document) Validate() error {
	services, err := d.serviceNames()
	if err != nil {
		return err
	}
	type match struct{ host, prefix string }
	matches := make(map[match]string, len(d.Routes))
	for i := range d.Routes {
		route := &d.Routes[i]
		if err := route.validate(services); err != nil {
			return err
		}
		pair := match{strings.ToLower(route.Host), route.Prefix}
		if other, used := matches[pair]; used {
			return route.invalidField("path prefix", fmt.Sprintf("same host and prefix as route %q", other))
		}
		matches[pair] = route.Name
	}
	return d.validateTenants()
}

// validateTenants checks that tenants have distinct names, and that no key is empty or
// shared by two tenants. A tenant may have no keys.
func (d *Document) validateTenants() error {
	names := make(map[string]bool, len(d.Tenants))
	tenantByKey := make(map[apikey.Digest]string, len(d.Tenants))
	for _, tenant := range d.Tenants {
		invalid := func(reason string) error {
			return &InvalidError{Field: fmt.Sprintf("tenant %q", tenant.Name), Reason: reason}
		}
		if tenant.Name == "" || names[tenant.Name] {
			return invalid("name is empty or already used")
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if key == (apikey.Digest{}) {
				return invalid("has an empty key")
			}
			if other, used := tenantByKey[key]; used && other != tenant.Name {
				return invalid(fmt.Sprintf("shares a key with tenant %q", other))
			}
			tenantByKey[key] = tenant.Name
		}
	}
	return nil
}

func (d *Document) serviceNames() (map[string]bool, error) {
	names := make(map[string]bool, len(d.Services))
	for _, service := range d.Services {
		if service.Name == "" {
			return nil, &InvalidError{Field: "service", Reason: "name is empty"}
		}
		if names[service.Name] {
			return nil, &InvalidError{Field: fmt.Sprintf("service %q", service.Name), Reason: "is defined twice"}
		}
		names[service.Name] = true
	}
	return names, nil
}

func (r *Route) invalidField(field, reason string) error {
	return &InvalidError{Field: fmt.Sprintf("route %q: %s", r.Name, field), Reason: reason}
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return r.invalidField("host", "is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return r.invalidField("path prefix", "must begin and end with a slash")
	case r.Timeout <= 0:
		return r.invalidField("timeout", "must be positive")
	case r.MaxAttempts < 0:
		return r.invalidField("attempts", "must not be negative")
	}
	switch r.Kind {
	case KindIdempotent, KindSingle, KindStream, KindJobs:
	default:
		return r.invalidField("kind", fmt.Sprintf("unknown kind %q", string(r.Kind)))
	}
	if len(r.Split) == 0 {
		if !services[r.Service] {
			return r.invalidField("service", fmt.Sprintf("service %q does not exist", r.Service))
		}
		return nil
	}
	return r.validateSplit(services)
}

func (r *Route) validateSplit(services map[string]bool) error {
	total := 0.0
	for _, share := range r.Split {
		if !services[share.Service] {
			return r.invalidField("split", fmt.Sprintf("service %q does not exist", share.Service))
		}
		if share.Weight < 0 {
			return r.invalidField("split", "negative weight")
		}
		total += share.Weight
	}
	if total <= 0 {
		return r.invalidField("split", "weights sum to 0")
	}
	return nil
}
