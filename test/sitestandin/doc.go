// Package sitestandin provides stand-ins for the replicas and the provider of a site, which
// implement the platform's protocol.
package sitestandin
