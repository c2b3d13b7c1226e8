// Package testkit provides helpers shared by the tests of several packages.
package testkit
