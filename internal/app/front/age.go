package front

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// maxTrackedRoutes limits the memory for routes that were removed since.
const maxTrackedRoutes = 4096

// callerAges estimates how long ago callers sent their first attempts, by route. A caller that is
// refused comes back through other fronts, which may not have seen its first attempt: they know
// its patience from other callers. It is safe for concurrent use.
type callerAges struct {
	mutex  sync.Mutex
	routes map[string]*admission.CallerAge
}

// observe records the time that the caller of a request will still wait, and returns the age
// of its first attempt; 0 if the caller does not say.
func (a *callerAges) observe(route *routing.Route, arrived time.Time, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.routes == nil {
		a.routes = map[string]*admission.CallerAge{}
	}
	age := a.routes[route.Name]
	if age == nil {
		if len(a.routes) >= maxTrackedRoutes {
			clear(a.routes)
		}
		age = &admission.CallerAge{}
		a.routes[route.Name] = age
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
