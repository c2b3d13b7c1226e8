// Package port holds what the parts of loomgrade agree on: identifiers, the
// verdict carried by every error, the configuration document, the commands of
// the replicated control log with their results, and the small interfaces that
// decision logic and processes need from the outside.
//
// The package has no behaviour beyond validation and formatting. Types that
// cross a process border carry cbor tags (internal protocol) or json tags
// (HTTP, settings files), never both by accident.
package port
