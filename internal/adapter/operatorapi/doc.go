// Package operatorapi is the HTTP and JSON interface of a control member for operators,
// and its client.
//
// Every call except health checks and metrics needs the operator token. Bodies, headers,
// connections and durations are limited. A change carries the expected revision and a
// change id: a retry with the same id, at any member, returns the first result. Errors
// are api.ErrorBody, with the verdict.
package operatorapi
