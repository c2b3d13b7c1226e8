// Package appclient is the client of one application back end over HTTP. It
// implements port.Application: the whole answer or an error, and each call
// sent exactly once.
package appclient
