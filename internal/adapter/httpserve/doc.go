// Package httpserve is shared by loomgrade's HTTP servers: a listener with a limited number
// of connections, the announced keep-alive of idle connections, and error responses with
// status and verdict, as documented in docs/PROTOCOLS.md.
package httpserve
