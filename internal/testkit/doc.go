// Package testkit holds helpers shared by the tests of several packages.
package testkit
