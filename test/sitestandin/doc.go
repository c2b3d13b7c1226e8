// Package sitestandin has stand-ins of the replicas of a site, which speak the
// platform's protocol, for tests of whole sites.
package sitestandin
