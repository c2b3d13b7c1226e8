// Package sitestandin has stand-ins for the replicas and the provider of a site, which
// speak the platform's protocol.
package sitestandin
