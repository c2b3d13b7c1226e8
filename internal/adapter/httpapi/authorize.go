package httpapi

import (
	"net/http"
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/apikey"
	"github.com/loomgrade/loomgrade/internal/port"
)

const bearerPrefix = "Bearer "

// bearerDigest returns the digest of a request's bearer token.
func bearerDigest(request *http.Request) apikey.Digest {
	token, found := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	if !found {
		return apikey.Digest{}
	}
	return apikey.Of(token)
}

func (s *Server) tenants() []port.Tenant {
	if s.config.Tenants != nil {
		return s.config.Tenants()
	}
	return s.backend.View().Configuration.Tenants
}

// caller identifies the sender of a request.
type caller struct {
	tenant   port.TenantName
	operator bool
	// authenticated reports whether the token belongs to a tenant or the operator.
	authenticated bool
}

// authorize identifies the caller. If tenants are configured, the token of a tenant
// or the operator is required.
func (s *Server) authorize(request *http.Request) (caller, *port.Error) {
	token := bearerDigest(request)
	if s.operator.Equal(token) {
		return caller{operator: true, authenticated: true}, nil
	}
	tenants := s.tenants()
	if len(tenants) == 0 {
		return caller{}, nil
	}
	var found caller
	for _, tenant := range tenants {
		if token.Equal(apikey.FromHex(tenant.TokenSHA256)) {
			found = caller{tenant: tenant.Name, authenticated: true}
		}
	}
	if !found.authenticated {
		return caller{}, unauthorized("missing or wrong token")
	}
	return found, nil
}

// authorizeOperator rejects every caller but the operator.
func (s *Server) authorizeOperator(request *http.Request) *port.Error {
	if s.operator.Equal(bearerDigest(request)) {
		return nil
	}
	return unauthorized("the operator's token is required")
}

func unauthorized(message string) *port.Error {
	return port.NewError(port.NotRun, port.CodeUnauthorized, "%s", message)
}
