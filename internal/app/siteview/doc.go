// Package siteview maintains a process's view of the site's control state: it watches a
// control member, switches to another one when that times out or loses contact with a quorum,
// and publishes immutable views whose position never decreases.
package siteview
