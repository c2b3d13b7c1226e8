// Package quarantine withholds requests that crash replicas.
//
// A request that crashes the replica that runs it (a query of death) crashes another one with
// each retry. Limiting the retries of one sender does not help, because the caller retries
// through another process. The site therefore stores one Ledger of what all processes
// observed, by the request's Fingerprint. A request is withheld once CrashesUntilWithheld replicas
// have crashed during it and none has served it since.
//
// Requests that only ran concurrently with such a request are suspects too. A response clears
// them, a response from a replica presumed crashed clears the replica, and a withheld request
// gets MaxTrials more sends, one at a time on the whole site.
package quarantine
