// Package settings reads the settings file of a loomgrade process.
//
// A settings file is YAML and strict: an unknown or repeated key, a wrong
// unit, a malformed address or a missing value is refused with the file, line,
// key, value and what is allowed, and the process does not start. Settings are
// what one process must know before it can reach the others; everything that
// operators change while the fleet runs is configuration and lives in the
// replicated control state.
package settings
