// Package api holds the bodies, paths and headers of the HTTP interfaces that loomgrade
// serves and uses, as described in docs/PROTOCOLS.md. Adapters and stand-ins share them.
package api
