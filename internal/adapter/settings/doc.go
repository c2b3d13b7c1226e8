// Package settings reads the settings file of a loomgrade process.
//
// A settings file is strict YAML: an unknown or repeated key, a wrong unit, a
// malformed address or a missing value is rejected with the file, line, key, value
// and the allowed values, and the process does not start. Settings are what a
// process needs before it can reach the others. Everything that operators change
// while the fleet runs is configuration and part of the replicated control state.
package settings
