// Package httpserve is shared by loomgrade's HTTP servers: a server that limits what its clients can
// use, the announced keep-alive of idle connections, and error responses with status and verdict, as
// documented in docs/PROTOCOLS.md.
package httpserve
