// Package quarantine withholds requests under which replicas end.
//
// A request that crashes whatever runs it (a query of death) takes a new replica down with
// each try, and a bound on the tries of one sender does not help: its caller sends it again,
// to another process. So what every process saw is kept in one Ledger, by the request's
// Fingerprint. A request is withheld once EndsUntilWithheld replicas have ended under it and
// none has served it since.
//
// Requests that only ran beside such a one are suspects too. An answer clears them, an
// answer of a replica that was taken to have ended clears the replica, and a withheld request
// gets MostTrials more sends, one at a time on the whole site.
package quarantine
