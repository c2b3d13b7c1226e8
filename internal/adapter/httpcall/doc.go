// Package httpcall sends one HTTP request exactly once and says, with an exact
// verdict, whether it may have run when no answer came.
//
// It is the part that the clients of engines, application back ends and
// platform services share. Three things set it apart from http.Client. Every
// connection counts its writes, so that NotRun is claimed only where no byte
// of the request was, or still can be, written. Request bodies cannot be
// rewound, so that net/http never resends a request by itself on another
// connection. Redirects, proxies, cookies and compression are off.
package httpcall
