// Package httpcall sends one HTTP request exactly once and, if there is no response,
// reports with an exact verdict whether the request may have run. The clients of engines,
// application back ends and platform services share it.
//
// It differs from http.Client in three ways. Every connection counts its writes, so that
// NotRun is returned only if no byte of the request was, or still can be, written. Request
// bodies cannot be rewound, so that net/http never retries a request on another connection.
// Redirects, proxies, cookies and compression are disabled.
package httpcall
