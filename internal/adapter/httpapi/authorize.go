package httpapi

import (
	"net/http"
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/apikey"
	"github.com/loomgrade/loomgrade/internal/port"
)

const bearerPrefix = "Bearer "

// bearer gives the digest of a request's token.
func bearer(request *http.Request) apikey.Digest {
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

// caller is who sent a request.
type caller struct {
	tenant   port.TenantName
	operator bool
	// known says that the token named a tenant or the operator.
	known bool
}

// authorize finds the caller. Where tenants are configured, a token of one of
// them or of the operator is needed.
func (s *Server) authorize(request *http.Request) (caller, *port.Error) {
	token := bearer(request)
	if s.operator.Equal(token) {
		return caller{operator: true, known: true}, nil
	}
	tenants := s.tenants()
	if len(tenants) == 0 {
		return caller{}, nil
	}
	var found caller
	for _, tenant := range tenants {
		if token.Equal(apikey.FromHex(tenant.TokenSHA256)) {
			found = caller{tenant: tenant.Name, known: true}
		}
	}
	if !found.known {
		return caller{}, unauthorized("no or wrong token")
	}
	return found, nil
}

// authorizeOperator lets only the operator in.
func (s *Server) authorizeOperator(request *http.Request) *port.Error {
	if s.operator.Equal(bearer(request)) {
		return nil
	}
	return unauthorized("this needs the operator's token")
}

func unauthorized(message string) *port.Error {
	return port.NewError(port.NotRun, port.CodeUnauthorized, "%s", message)
}
