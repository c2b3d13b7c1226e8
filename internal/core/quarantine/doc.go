// Package quarantine recognizes requests that come again: a request under which replicas
// end takes a new replica down with each try, whichever process sends it.
package quarantine
