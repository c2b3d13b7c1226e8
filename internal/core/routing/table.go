package routing

import (
	"slices"
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/apikey"
)

// goldenRatio is the fractional part of the golden ratio in 64 bits. Its multiples are
// evenly distributed, so that few requests already follow the weights of a split.
const goldenRatio = 0x9e3779b97f4a7c15

// Table indexes a Document. It is immutable and safe for concurrent use.
type Table struct {
	document *Document
	// hosts maps lower-case hosts and path prefixes to routes.
	hosts    map[string]map[string]*Route
	services map[string]*Service
	// byKey maps keys to tenants.
	byKey map[apikey.Digest]*Tenant
	// tenants maps names to tenants.
	tenants map[string]*Tenant
}

// NewTable returns the table of a valid document, which must not be modified afterwards.
func NewTable(document *Document) *Table {
	table := &Table{
		document: document,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(document.Services)),
		byKey:    make(map[apikey.Digest]*Tenant, len(document.Tenants)),
		tenants:  make(map[string]*Tenant, len(document.Tenants)),
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		host := strings.ToLower(route.Host)
		if table.hosts[host] == nil {
			table.hosts[host] = make(map[string]*Route)
		}
		table.hosts[host][route.Prefix] = route
	}
	for i := range document.Services {
		service := &document.Services[i]
		table.services[service.Name] = service
	}
	for i := range document.Tenants {
		table.tenants[document.Tenants[i].Name] = &document.Tenants[i]
		for _, key := range document.Tenants[i].Keys {
			table.byKey[key] = &document.Tenants[i]
		}
	}
	return table
}

// RequiresKeys reports whether callers must present a key.
func (t *Table) RequiresKeys() bool { return len(t.document.Tenants) > 0 }

// TenantOf returns the tenant of a key, or nil.
func (t *Table) TenantOf(key string) *Tenant { return t.byKey[apikey.Of(key)] }

// Tenant returns the tenant with a name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// Document returns the document of the table.
func (t *Table) Document() *Document { return t.document }

// Version returns the document's version.
func (t *Table) Version() uint64 { return t.document.Version }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Lookup returns the route of the host with the longest prefix of path, or nil. It
// ignores a port in host and a query in path.
func (t *Table) Lookup(host, path string) *Route {
	prefixes := t.hosts[hostName(host)]
	if prefixes == nil {
		return nil
	}
	if query := strings.IndexByte(path, '?'); query >= 0 {
		path = path[:query]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, found := prefixes[path[:end+1]]; found {
			return route
		}
	}
	return nil
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// ServiceFor returns the service of the route's n-th request.
func (r *Route) ServiceFor(n uint64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	const bits = 53
	point := float64(n*goldenRatio>>(64-bits)) / (1 << bits) * total
	for _, share := range r.Split {
		if share.Weight > 0 && point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.lastWeightedService()
}

// RoutesTo reports whether ServiceFor may return the service.
func (r *Route) RoutesTo(service string) bool {
	if len(r.Split) == 0 {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// lastWeightedService returns the last service with a weight, the fallback of ServiceFor if
// rounding leaves a remainder after the last share.
func (r *Route) lastWeightedService() string {
	chosen := r.Split[0].Service
	for _, share := range r.Split {
		if share.Weight > 0 {
			chosen = share.Service
		}
	}
	return chosen
}

// Services returns the services that ServiceFor may return.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		if share.Weight > 0 {
			names = append(names, share.Service)
		}
	}
	return names
}
