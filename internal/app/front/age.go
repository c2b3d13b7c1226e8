package front

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// maxTrackedSources limits the memory for routes and tenants that were removed since.
const maxTrackedSources = 16384

// requestSource is a route and the tenant that uses it, "" if unknown.
type requestSource struct{ route, tenant string }

// callerAges estimates how long ago callers sent their first attempts. Routes and tenants differ
// in how long their callers wait: a tenant that waits longer than others must not make their
// requests look late. It is safe for concurrent use.
type callerAges struct {
	mutex   sync.Mutex
	sources map[requestSource]*admission.CallerAge
}

// observe records the time that the caller of a request will still wait, and returns the age
// of its first attempt; 0 if the caller does not say.
func (a *callerAges) observe(route *routing.Route, tenant string, arrived time.Time, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.sources == nil {
		a.sources = map[requestSource]*admission.CallerAge{}
	}
	source := requestSource{route: route.Name, tenant: tenant}
	age := a.sources[source]
	if age == nil {
		if len(a.sources) >= maxTrackedSources {
			clear(a.sources)
		}
		age = &admission.CallerAge{}
		a.sources[source] = age
	}
	return age.Observe(arrived, patience)
}

// patience returns how long the caller will still wait, 0 if it does not say.
func (f *Front) patience(r *http.Request) time.Duration {
	millis, err := strconv.ParseFloat(r.Header.Get(f.headers.Deadline), 64)
	if err != nil || millis <= 0 {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}
