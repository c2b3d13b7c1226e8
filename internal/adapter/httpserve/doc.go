// Package httpserve holds what loomgrade's HTTP servers have in common: a
// listener with a bounded number of connections, and the form of error answers
// with their status and verdict, as docs/PROTOCOLS.md describes them.
package httpserve
