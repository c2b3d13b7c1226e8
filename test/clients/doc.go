// Package clients starts a site's real programs and sends them crowds of clients that exceed what
// a client may use: memory, connections or time. For each listener and each kind of client it checks
// that the process lives, that its resident memory and its open descriptors stay within those of its
// machine, and that one ordinary request is answered beside the crowd and after it. It checks no
// durations and no share of served requests. Clients within the limits must meet none of them.
//
// The tests run one after the other, and only on request, since other load may disturb them:
//
//	go test ./test/clients -count=1 -crowds
package clients
