// Package testkit holds the few helpers that tests of several packages share.
package testkit
