// Package operatorapi is the HTTP and JSON interface that a control member
// serves to operators, and the client that the command line uses.
//
// Every call but the health checks needs the operator token. Bodies, headers,
// connections and times are bounded. A change carries the revision that it
// expects and a change id: a resend under the same id, to any member, gets the
// first answer. Errors are api.ErrorBody, with the verdict.
package operatorapi
