// Package siteview keeps a process's view of the site's control state: it
// watches a control member, moves on to another one when that falls silent or
// is out of touch with a quorum, and publishes immutable views that only go
// forward.
package siteview
