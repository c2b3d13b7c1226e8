package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// Caller identifies the sender of a request. The zero Caller has no tenant.
type Caller struct {
	// tenant is nil if no tenants are configured, and for a request without a key on a
	// public route.
	tenant *routing.Tenant
	// restricted is true if tenants are configured: the caller reaches only its own jobs.
	restricted bool
	// table is the one by which the tenant was identified.
	table *routing.Table
}

// name returns the tenant's name, or "" for no tenant.
func (c Caller) name() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// access returns the restriction of the jobs that the caller may access; nil if there is none.
func (c Caller) access() *jobstate.Access {
	if !c.restricted {
		return nil
	}
	return &jobstate.Access{Tenant: c.name()}
}

// Authorize identifies the caller of a call about a job. It rejects a call that may outlast a
// planned stop. If ok is false, the error response is already written.
func (f *Front) Authorize(w http.ResponseWriter, r *http.Request) (caller Caller, ok bool) {
	view := f.config.Watcher.View()
	if view == nil || view.Table == nil {
		f.rejectWithDelay(w, r, "", "no configuration is known yet", startupRetryDelay)
		return Caller{}, false
	}
	if !f.endsBeforeStop(time.Now().Add(jobCallTimeout)) {
		f.reject(w, r, "", proxy.ErrStopping.Error())
		return Caller{}, false
	}
	return f.authorize(w, r, view, false)
}

// authorize identifies the tenant by the key of the request. If ok is false, the error
// response is already written. Requests on public routes need no key.
func (f *Front) authorize(w http.ResponseWriter, r *http.Request, view *siteview.View, public bool) (caller Caller, ok bool) {
	caller.table = view.Table
	if !view.Table.RequiresKeys() {
		return caller, true
	}
	keys := r.Header.Values(f.headers.Key)
	// A request with several keys belongs to no tenant.
	if len(keys) == 1 {
		caller.tenant = view.Table.TenantOf(strings.TrimSpace(keys[0]))
	}
	caller.restricted = true
	if caller.tenant == nil && !public {
		f.denyKey(w, r, view)
		return Caller{}, false
	}
	if !public && f.config.RevokeWithin > 0 && !f.config.Watcher.ConfirmedWithin(f.config.RevokeWithin) {
		f.reject(w, r, "", "the key may have been revoked")
		return Caller{}, false
	}
	return caller, true
}

// denyKey rejects a request without a valid key: with 401, or with 503 if the view is too
// old to rule out that the key was added since.
func (f *Front) denyKey(w http.ResponseWriter, r *http.Request, view *siteview.View) {
	if !f.config.Watcher.IsCurrent(view.Table) {
		f.reject(w, r, "", "the key is not known, and the configuration is not confirmed")
		return
	}
	f.config.Logger.Info().Str(eventlog.Field, eventlog.RequestNoKey).Str("id", r.Header.Get(f.headers.RequestID)).Str("host", r.Host).
		Bool("shown", r.Header.Get(f.headers.Key) != "").Uint64("version", view.Table.Version()).Msg("request with a missing or unknown tenant key")
	http.Error(w, "no or unknown key", http.StatusUnauthorized)
}

// setTenantHeader replaces the caller's key and tenant headers by the name of its tenant.
func (f *Front) setTenantHeader(header http.Header, caller Caller) {
	if !caller.restricted {
		return
	}
	header.Del(f.headers.Key)
	header.Del(f.headers.Tenant)
	if name := caller.name(); name != "" {
		header.Set(f.headers.Tenant, name)
	}
}
