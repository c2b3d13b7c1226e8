// Package appclient is the HTTP client of one application back end. It implements
// port.Application: a call is sent exactly once and returns the complete response or an
// error.
package appclient
