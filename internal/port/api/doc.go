// Package api holds the bodies, paths and headers of the HTTP interfaces that
// loomgrade serves and uses, as docs/PROTOCOLS.md describes them. Adapters and
// stand-ins share it, so that a difference between them cannot hide in a copy.
package api
