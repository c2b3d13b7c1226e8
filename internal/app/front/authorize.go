package front

import (
	"net/http"
	"strings"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// Caller is who sent a request. The zero Caller is one without a tenant.
type Caller struct {
	// tenant is nil where none are configured, and for a request of a public route
	// without a key.
	tenant *routing.Tenant
	// scoped is set where tenants are configured.
	scoped bool
}

// name gives the tenant's name, empty for none.
func (c Caller) name() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// access bounds what jobs the caller reaches.
func (c Caller) access() *jobstate.Access {
	if !c.scoped {
		return nil
	}
	return &jobstate.Access{Tenant: c.name()}
}

// Authorize finds who sent a call about jobs; ok is false if the call was answered
// already.
func (f *Front) Authorize(w http.ResponseWriter, r *http.Request) (caller Caller, ok bool) {
	view := f.config.Watcher.View()
	if view == nil || view.Table == nil {
		f.refuseFor(w, r, "", "no configuration is known yet", comeBackLater)
		return Caller{}, false
	}
	return f.authorize(w, r, view, false)
}

// authorize finds the tenant whose key a request shows; ok is false if the request was
// answered already. Requests of public routes need no key.
func (f *Front) authorize(w http.ResponseWriter, r *http.Request, view *siteview.View, public bool) (caller Caller, ok bool) {
	if !view.Table.RequiresKeys() {
		return Caller{}, true
	}
	keys := r.Header.Values(f.headers.Key)
	// Of several keys none says whose the request is.
	if len(keys) == 1 {
		caller.tenant = view.Table.TenantOf(strings.TrimSpace(keys[0]))
	}
	caller.scoped = true
	if caller.tenant == nil && !public {
		f.denyKey(w, r, view)
		return Caller{}, false
	}
	if !public && f.config.RevokeWithin > 0 && !f.config.Watcher.ConfirmedWithin(f.config.RevokeWithin) {
		f.refuse(w, r, "", "the key may have been taken away meanwhile")
		return Caller{}, false
	}
	return caller, true
}

// denyKey answers a request without a valid key: 401, unless this process may have missed
// a change that added it.
func (f *Front) denyKey(w http.ResponseWriter, r *http.Request, view *siteview.View) {
	if !f.config.Watcher.ConfirmedWithin(unknownAfter) {
		f.refuse(w, r, "", "the key is not known, and the configuration is not confirmed")
		return
	}
	f.config.Logger.Info().Str(eventlog.Field, eventlog.RequestNoKey).Str("id", r.Header.Get(f.headers.RequestID)).Str("host", r.Host).
		Bool("shown", r.Header.Get(f.headers.Key) != "").Uint64("version", view.Table.Version()).Msg("no tenant holds the key of a request")
	http.Error(w, "no or unknown key", http.StatusUnauthorized)
}

// markTenant replaces what a caller showed or claimed by the name of its tenant.
func (f *Front) markTenant(header http.Header, caller Caller) {
	if !caller.scoped {
		return
	}
	header.Del(f.headers.Key)
	header.Del(f.headers.Tenant)
	if name := caller.name(); name != "" {
		header.Set(f.headers.Tenant, name)
	}
}
